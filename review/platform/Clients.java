package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that send one request after the other on kept channels and open new ones as needed. */
final class Clients implements AutoCloseable {
    /** Clients wait half a second beyond their time limit for an answer. */
    private static final int WAIT_MILLIS = Site.TIMEOUT_MILLIS + 500;

    /**
     * What became of a request.
     *
     * @param status of the answer; 0 if the channel ended without one; -1 if none came in time; -2
     *     if it could not be sent
     * @param kept whether its channel had carried a request before
     */
    record Outcome(
            String attemptId, String path, long sentMillis, long endMillis, int status, boolean kept) {}

    private static final AtomicLong NUMBER = new AtomicLong();

    private final Journal mJournal;
    final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private volatile boolean mStopped;

    Clients(Journal journal) {
        mJournal = journal;
    }

    /** Starts a client of an entry instance that sends a request every so often. */
    void start(InetSocketAddress entry, String path, int intervalMillis) {
        Thread.ofVirtual().start(() -> run(entry, path, intervalMillis));
    }

    long count(int status) {
        return outcomes.stream().filter(outcome -> outcome.status() == status).count();
    }

    private void run(InetSocketAddress entry, String path, int intervalMillis) {
        Http.Channel channel = null;
        boolean kept = false;
        while (!mStopped) {
            String id = "%016x".formatted(0x9c41d07b00000000L + NUMBER.incrementAndGet());
            long sentMillis = mJournal.nowMillis();
            int status = -2;
            boolean close = true;
            try {
                if (channel == null) {
                    channel = new Http.Channel(entry, 1_000);
                    kept = false;
                }
                status = 0;
                Http.Message answer =
                        channel.exchange("POST", path, Site.headers(id), "{}", WAIT_MILLIS);
                status = answer.status();
                close = answer.header("Connection").equalsIgnoreCase("close");
            } catch (java.net.SocketTimeoutException late) {
                status = status == 0 ? -1 : status;
            } catch (IOException ended) {
                // The status says what is known.
            }
            if (mStopped) {
                return;
            }
            outcomes.add(
                    new Outcome(id, path, sentMillis, mJournal.nowMillis(), status, kept));
            mJournal.add("client " + id + " " + path + " sent " + sentMillis + " got " + status);
            kept = true;
            if (close && channel != null) {
                closeQuietly(channel);
                channel = null;
            }
            try {
                Thread.sleep(intervalMillis);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private static void closeQuietly(Http.Channel channel) {
        try {
            channel.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to close.
        }
    }

    @Override
    public void close() {
        mStopped = true;
    }
}
