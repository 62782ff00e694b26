package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Forwards TCP connections to the peer port of one instance and stops forwarding, without closing,
 * in the directions that are cut. The other end is known from the name in its first frame.
 */
final class CuttingRelay implements AutoCloseable {
    private static final Pattern NAME = Pattern.compile("entry-([1-4])");
    private static final int BUFFER_BYTES = 65_536;

    private final int mInstance;
    private final int mTargetPort;
    private final Cuts mCuts;
    private final ServerSocket mServer;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    private CuttingRelay(int instance, int targetPort, Cuts cuts, ServerSocket server) {
        mInstance = instance;
        mTargetPort = targetPort;
        mCuts = cuts;
        mServer = server;
    }

    /** The directions in which nothing passes, shared by the relays of a cluster. */
    static final class Cuts {
        private final Set<String> mCut = new HashSet<>();
        private volatile String mWatched = "";
        private volatile int mWatchedTo;
        private volatile boolean mSeen;

        /** Looks out for frames with this text on the way to an instance. */
        void watch(String text, int to) {
            mSeen = false;
            mWatchedTo = to;
            mWatched = text;
        }

        /** Waits until a frame with the watched text was forwarded. */
        void awaitWatched() {
            Waiting.until("a frame with " + mWatched + " passes", () -> mSeen);
        }

        private void passed(int to, byte[] buffer, int count) {
            String watched = mWatched;
            if (!watched.isEmpty()
                    && to == mWatchedTo
                    && new String(buffer, 0, count, StandardCharsets.ISO_8859_1)
                            .contains(watched)) {
                mSeen = true;
            }
        }

        synchronized void cut(int from, int to) {
            mCut.add(from + ">" + to);
        }

        /** Cuts an instance from all others in both directions. */
        synchronized void isolate(int instance) {
            for (int other = 0; other < LocalCluster.INSTANCES; other++) {
                if (other != instance) {
                    cut(instance, other);
                    cut(other, instance);
                }
            }
        }

        synchronized void heal() {
            mCut.clear();
            notifyAll();
        }

        synchronized void awaitPassage(int from, int to) throws InterruptedException {
            while (mCut.contains(from + ">" + to)) {
                wait();
            }
        }
    }

    static CuttingRelay start(int instance, int port, int targetPort, Cuts cuts) {
        try {
            ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
            CuttingRelay relay = new CuttingRelay(instance, targetPort, cuts, server);
            Thread.ofVirtual().start(relay::accept);
            return relay;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    @Override
    public void close() {
        closeQuietly(mServer);
        mSockets.forEach(CuttingRelay::closeQuietly);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket client = mServer.accept();
                mSockets.add(client);
                Thread.ofVirtual().start(() -> serve(client));
            } catch (IOException exception) {
                return;
            }
        }
    }

    private void serve(Socket client) {
        try (Socket target = new Socket(InetAddress.getLoopbackAddress(), mTargetPort)) {
            mSockets.add(target);
            client.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            byte[] first = new byte[BUFFER_BYTES];
            int length = 0;
            Matcher name = NAME.matcher("");
            while (!name.find()) {
                int count = client.getInputStream().read(first, length, first.length - length);
                if (count <= 0) {
                    return;
                }
                length += count;
                name = NAME.matcher(new String(first, 0, length, StandardCharsets.ISO_8859_1));
            }
            int from = Integer.parseInt(name.group(1)) - 1;
            Thread.ofVirtual().start(() -> forward(target, client, mInstance, from));
            mCuts.awaitPassage(from, mInstance);
            target.getOutputStream().write(Arrays.copyOf(first, length));
            forward(client, target, from, mInstance);
        } catch (IOException | InterruptedException exception) {
            // The end of a connection or of the test; the instances connect again.
        } finally {
            closeQuietly(client);
        }
    }

    private void forward(Socket source, Socket sink, int from, int to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            int count = source.getInputStream().read(buffer);
            while (count > 0) {
                mCuts.awaitPassage(from, to);
                sink.getOutputStream().write(buffer, 0, count);
                mCuts.passed(to, buffer, count);
                count = source.getInputStream().read(buffer);
            }
        } catch (IOException | InterruptedException exception) {
            // The end of a connection or of the test; the instances connect again.
        } finally {
            closeQuietly(source);
            closeQuietly(sink);
        }
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }
}
