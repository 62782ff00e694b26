package dev.kumquatweir.program.system;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
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

    /** Bound on the bytes of one connection. All of them together exceed the heap of the test. */
    private static final long MAXIMUM_BYTES = 16L << 20;

    private static final int CONNECTIONS_PER_CLIENT = 3;
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    /** After this time, clients whose data is no longer read are left as they are. */
    private static final long SENDING_NANOS = TimeUnit.SECONDS.toNanos(12);

    private final Queue<Socket> mSockets = new ConcurrentLinkedQueue<>();
    private final List<Thread> mThreads = new ArrayList<>();
    private final AtomicLong mSentBytes = new AtomicLong();
    private final AtomicInteger mClosed = new AtomicInteger();
    private volatile boolean mStopped;

    private OffendingClients() {}

    /** Starts clients that send the first bytes once and the others again and again. */
    static OffendingClients start(InetSocketAddress address, byte[] first, byte[] repeated) {
        OffendingClients clients = new OffendingClients();
        for (int number = 0; number < CLIENTS; number++) {
            clients.mThreads.add(
                    Thread.ofPlatform()
                            .daemon()
                            .start(() -> clients.run(address, first, repeated)));
        }
        return clients;
    }

    /** Waits until the clients have sent all, are closed or are no longer read. */
    String awaitEnd() {
        long deadline = System.nanoTime() + SENDING_NANOS;
        int waiting = 0;
        for (Thread thread : mThreads) {
            try {
                long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
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

    private void run(InetSocketAddress address, byte[] first, byte[] repeated) {
        for (int count = 0; count < CONNECTIONS_PER_CLIENT && !mStopped; count++) {
            Socket socket = new Socket();
            mSockets.add(socket);
            try {
                socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
                socket.connect(address, CONNECT_TIMEOUT_MILLIS);
                socket.getOutputStream().write(first);
                for (long sent = 0; sent < MAXIMUM_BYTES && !mStopped; sent += repeated.length) {
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
