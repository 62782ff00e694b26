package dev.kumquatweir.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Forwards TCP connections to a target. It stands in for a middlebox that loses its state: {@link
 * #freeze} keeps the present connections open and forwards nothing on them, new ones work.
 */
final class Relay implements AutoCloseable {
    private final ServerSocket mServer;
    private final InetSocketAddress mTarget;
    private final List<Pair> mPairs = new CopyOnWriteArrayList<>();

    private static final class Pair {
        private final Socket mNear;
        private final Socket mFar;
        private volatile boolean mFrozen;

        Pair(Socket near, Socket far) {
            mNear = near;
            mFar = far;
        }
    }

    Relay(InetSocketAddress target) throws IOException {
        mServer = new ServerSocket(0, 50, TestSupport.anyPort().getAddress());
        mTarget = target;
        Thread.ofVirtual().start(this::acceptAll);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    int connections() {
        return mPairs.size();
    }

    void freeze() {
        mPairs.forEach(pair -> pair.mFrozen = true);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Pair pair : mPairs) {
            pair.mNear.close();
            pair.mFar.close();
        }
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket near = mServer.accept();
                Socket far = new Socket(mTarget.getAddress(), mTarget.getPort());
                Pair pair = new Pair(near, far);
                mPairs.add(pair);
                Thread.ofVirtual().start(() -> pump(pair, near, far));
                Thread.ofVirtual().start(() -> pump(pair, far, near));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static void pump(Pair pair, Socket source, Socket target) {
        byte[] buffer = new byte[16 * 1024];
        try {
            for (int count = source.getInputStream().read(buffer);
                    count >= 0;
                    count = source.getInputStream().read(buffer)) {
                if (!pair.mFrozen) {
                    target.getOutputStream().write(buffer, 0, count);
                }
            }
            if (!pair.mFrozen) {
                target.close();
            }
        } catch (IOException | UncheckedIOException closed) {
            // One side has gone.
        }
    }
}
