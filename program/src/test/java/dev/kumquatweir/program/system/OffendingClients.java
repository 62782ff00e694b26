package dev.kumquatweir.program.system;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send without end and read nothing. Their connections stay open until this is closed.
 */
final class OffendingClients implements AutoCloseable {
    static final int CLIENTS = 6;

    /** All of the bytes together exceed the heap of the test. */
    private static final Load FEW = new Load(CLIENTS, 3, 16L << 20, 12);

    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final long mDeadlineNanos;
    private final Load mLoad;
    private final Queue<Socket> mSockets = new ConcurrentLinkedQueue<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicInteger mClosed = new AtomicInteger();
    private volatile boolean mStopped;

    private OffendingClients(Load load) {
        mLoad = load;
        mDeadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(load.seconds());
    }

    /**
     * How many clients send how much.
     *
     * @param connections connections of each client, one after the other
     * @param bytes bound on the bytes of one connection
     * @param seconds time after which clients whose data is no longer read are left as they are
     */
    record Load(int clients, int connections, long bytes, int seconds) {}

    /** What one client sends: the first bytes once, the others again and again. */
    record Data(String first, String repeated) {}

    /** Starts clients that send the first bytes once and the others again and again. */
    static OffendingClients start(InetSocketAddress address, byte[] first, byte[] repeated) {
        return start(
                address,
                FEW,
                List.of(
                        new Data(
                                new String(first, StandardCharsets.US_ASCII),
                                new String(repeated, StandardCharsets.US_ASCII))));
    }

    /** Starts clients that send the given data by turns. */
    static OffendingClients start(InetSocketAddress address, Load load, List<Data> data) {
        OffendingClients clients = new OffendingClients(load);
        for (int number = 0; number < load.clients(); number++) {
            Data own = data.get(number % data.size());
            clients.mThreads.add(
                    Thread.ofPlatform().daemon().start(() -> clients.run(address, own)));
        }
        return clients;
    }

    /** Waits until the clients have sent all, are closed or are no longer read. */
    String awaitEnd() {
        int waiting = 0;
        for (Thread thread : mThreads) {
            try {
                long remaining = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - System.nanoTime());
                thread.join(Math.max(1, remaining));
            } catch (InterruptedException exception) {
                throw new AssertionError(exception);
            }
            waiting += thread.isAlive() ? 1 : 0;
        }
        mStopped = true;
        return "sent %.1f MB, %d connections closed, %d clients unread"
                .formatted(mSentBytes.get() / 1e6, mClosed.get(), waiting);
    }

    @Override
    public void close() {
        mStopped = true;
        for (Socket socket : mSockets) {
            try {
                socket.close();
            } catch (IOException closed) {
                // The test has ended.
            }
        }
    }

    private void run(InetSocketAddress address, Data data) {
        byte[] repeated = data.repeated().getBytes(StandardCharsets.US_ASCII);
        for (int count = 0; count < mLoad.connections() && !mStopped; count++) {
            Socket socket = new Socket();
            mSockets.add(socket);
            try {
                socket.setTcpNoDelay(true);
                socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
                socket.connect(address, CONNECT_TIMEOUT_MILLIS);
                socket.getOutputStream().write(data.first().getBytes(StandardCharsets.US_ASCII));
                for (long sent = 0; sent < mLoad.bytes() && !mStopped; sent += repeated.length) {
                    socket.getOutputStream().write(repeated);
                    mSentBytes.addAndGet(repeated.length);
                }
                return;
            } catch (IOException closed) {
                mClosed.incrementAndGet();
            }
        }
    }
}
