package review.common2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary clients of two entry instances and the sound workers that serve them. Each client keeps
 * its connection for many small requests that run at most once. Starts an entry instance again when
 * it has ended, and counts how often each does that by itself, as the rule Fault does. The requests
 * that reached a worker from a kept connection that was then closed without an answer (rule LOST)
 * are only noted in the record.
 */
public final class OrdinaryClients implements AutoCloseable {
    /** Entry instances of the deployment; the rule needs two machines at least. */
    public static final int ENTRIES = 2;

    /** Ends of one process by itself that count as a fault. */
    private static final int FAULT_ENDS = 3;

    private static final int CLIENTS = 16;
    private static final int WORKERS = 3;
    private static final long WORK_MILLIS = 200;
    private static final long LIMIT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 20;
    private static final long RESTART_MILLIS = 1_000;

    private final Fleet mFleet;
    private final List<Worker> mWorkers = new ArrayList<>();
    private final Set<String> mReached = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final int[] mEnds = new int[ENTRIES];
    private final long[] mEndedMillis = new long[ENTRIES];
    private long mMostMegabytes;

    /** Starts the workers; the clients start with {@link #start}. */
    public OrdinaryClients(Fleet fleet, int firstAddress) throws IOException {
        mFleet = fleet;
        for (int number = 0; number < WORKERS; number++) {
            mWorkers.add(
                    new Worker(
                            "i-book" + number,
                            Config.BOOKINGS,
                            Worker.address(fleet.workerAddress(firstAddress + number)),
                            fleet.controlAddresses(),
                            this::run));
        }
    }

    private void run(Worker.Call call) throws IOException {
        mReached.add(call.attempt());
        Record.line("run %s at %s", call.attempt(), call.worker().id());
        Fleet.pause(WORK_MILLIS);
        call.answer("done " + call.attempt());
    }

    /** Starts the clients and lets them send for a while. */
    public void start() {
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Thread.ofVirtual().start(() -> client(number));
        }
        Fleet.pause(2_000);
    }

    /**
     * Observes the entry instances, and starts them again when they end. Returns whether each of
     * them has ended by itself three times.
     */
    public boolean observe(long millis) throws IOException {
        long untilMillis = Record.millis() + millis;
        while (Record.millis() < untilMillis && !fault()) {
            for (int entry = 0; entry < ENTRIES; entry++) {
                observeEntry(entry);
            }
            Fleet.pause(100);
        }
        mEnded.set(true);
        Record.line(
                "ends by themselves: front-0 %d, front-1 %d; resident_mb=%d; ordinary requests:"
                        + " served=%d failed=%d, of these passed on and closed without an"
                        + " answer=%d",
                mEnds[0], mEnds[1], mMostMegabytes, mServed.get(), mFailed.get(), mLost.get());
        return fault();
    }

    private boolean fault() {
        return Arrays.stream(mEnds).allMatch(ends -> ends >= FAULT_ENDS);
    }

    private void observeEntry(int entry) throws IOException {
        Fleet.Node node = mFleet.entry(entry);
        mMostMegabytes = Math.max(mMostMegabytes, node.residentMegabytes());
        if (node.alive()) {
            mEndedMillis[entry] = 0;
        } else if (mEndedMillis[entry] == 0) {
            mEndedMillis[entry] = Record.millis();
            mEnds[entry]++;
            String log = node.log();
            Record.line(
                    "%s has ended by itself with status %d: %s",
                    node.name(),
                    node.exitStatus(),
                    log.contains("java.lang.OutOfMemoryError") ? "java.lang.OutOfMemoryError" : "");
        } else if (Record.millis() - mEndedMillis[entry] > RESTART_MILLIS) {
            node.start(false);
        }
    }

    /** Returns whether the case goes on. */
    public boolean goesOn() {
        return !mEnded.get();
    }

    private void client(int client) {
        int number = 0;
        while (!mEnded.get()) {
            try (Socket socket = mFleet.connect(client % ENTRIES)) {
                socket.setSoTimeout((int) LIMIT_MILLIS);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                for (int onChannel = 0; !mEnded.get(); onChannel++) {
                    number++;
                    if (!request(socket, input, "plain%02d%05d".formatted(client, number),
                            onChannel > 0)) {
                        break;
                    }
                    Fleet.pause(PAUSE_MILLIS);
                }
            } catch (IOException notConnected) {
                Fleet.pause(PAUSE_MILLIS);
            }
        }
    }

    /** Sends a request; returns whether the connection can be kept. */
    private boolean request(Socket socket, InputStream input, String attempt, boolean kept) {
        try {
            socket.getOutputStream()
                    .write(
                            Wire.request(
                                    "POST /order/x",
                                    Config.HOST,
                                    Config.fields(attempt, LIMIT_MILLIS),
                                    "hold"));
            socket.getOutputStream().flush();
            Wire.Answer answer = Wire.readAnswer(input);
            if (!answer.complete()) {
                throw new EOFException("closed inside the answer");
            }
            (answer.status() == 200 ? mServed : mFailed).incrementAndGet();
            Record.line("sent %s answered %d", attempt, answer.status());
            return !answer.head().field("connection").equalsIgnoreCase("close");
        } catch (SocketTimeoutException late) {
            mFailed.incrementAndGet();
            Record.line("sent %s not answered in time, closed by the client", attempt);
            return false;
        } catch (IOException closed) {
            mFailed.incrementAndGet();
            boolean lost = kept && !mEnded.get() && mReached.contains(attempt);
            mLost.addAndGet(lost ? 1 : 0);
            Record.line(
                    "sent %s %s: %s",
                    attempt,
                    lost ? "passed on, channel closed without an answer" : "failed",
                    closed.getMessage());
            return false;
        }
    }

    @Override
    public void close() {
        mEnded.set(true);
        mWorkers.forEach(Worker::close);
    }
}
