package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Framed TCP connections between this instance and its peers. Each instance dials each of its peers
 * and sends its own frames on that connection; the connections that peers dial carry their frames
 * and the answers to them.
 *
 * <p>Thread-safe. Handlers and stages of returned futures run on the {@code peer-io} thread and
 * must not block.
 */
public final class PeerNetwork implements AutoCloseable {
    private final IoResources mResources;
    private final LinkTable mLinks;
    private final ConcurrentHashMap<Integer, PeerHandler> mHandlers;
    private final PeerIo mPeerIo;
    private final InetSocketAddress mLocalAddress;

    private PeerNetwork(Builder builder, Selector selector, ServerSocketChannel server)
            throws IOException {
        mResources = new IoResources(builder.mLimits, builder.mClock);
        mLinks = new LinkTable(builder.mSelf, mResources);
        mHandlers = new ConcurrentHashMap<>(builder.mHandlers);
        mLocalAddress = (InetSocketAddress) server.getLocalAddress();
        mPeerIo =
                new PeerIo(
                        new Handshake.Identity(
                                builder.mCluster, builder.mSelf.value(), builder.mKey),
                        builder.mAcceptUnlisted,
                        mResources,
                        mLinks,
                        mHandlers,
                        selector,
                        server);
    }

    // Configuration.

    /**
     * Starts the configuration of a network.
     *
     * @param self this instance
     * @param cluster name of the cluster; instances of other clusters are refused
     * @param key secret of the cluster
     * @param listenAddress where peers connect; port 0 takes any free port
     */
    public static Builder builder(
            InstanceId self, String cluster, ClusterKey key, InetSocketAddress listenAddress) {
        return new Builder(self, cluster, key, listenAddress);
    }

    /** Collects the configuration of a network. Not thread-safe. */
    public static final class Builder {
        private static final int LONGEST_CLUSTER_NAME = 200;
        private static final int LISTEN_BACKLOG = 256;

        private final InstanceId mSelf;
        private final String mCluster;
        private final ClusterKey mKey;
        private final InetSocketAddress mListenAddress;
        private final Map<Integer, PeerHandler> mHandlers = new ConcurrentHashMap<>();
        private Map<InstanceId, InetSocketAddress> mPeers = Map.of();
        private PeerLimits mLimits = PeerLimits.defaults();
        private LongSupplier mClock = System::nanoTime;
        private boolean mAcceptUnlisted;

        private Builder(
                InstanceId self, String cluster, ClusterKey key, InetSocketAddress listenAddress) {
            if (cluster.length() > LONGEST_CLUSTER_NAME) {
                throw new IllegalArgumentException("the cluster's name is too long");
            }
            mSelf = self;
            mCluster = cluster;
            mKey = key;
            mListenAddress = listenAddress;
        }

        /** Sets the first member list; an entry for this instance is ignored. */
        public Builder peers(Map<InstanceId, InetSocketAddress> peers) {
            mPeers = Map.copyOf(peers);
            return this;
        }

        /** Sets the bounds. */
        public Builder limits(PeerLimits limits) {
            mLimits = limits;
            return this;
        }

        /** Sets the monotonic clock, in nanoseconds. */
        public Builder clock(LongSupplier nanoClock) {
            mClock = nanoClock;
            return this;
        }

        /** Sets the handler of a type; see {@link PeerNetwork#handle}. */
        public Builder handle(int type, PeerHandler handler) {
            mHandlers.put(type, handler);
            return this;
        }

        /** Sets whether authenticated instances outside the member list may connect. */
        public Builder acceptUnlisted(boolean accept) {
            mAcceptUnlisted = accept;
            return this;
        }

        /**
         * Listens, starts the {@code peer-io} thread and dials the peers.
         *
         * @return the running network, or why it can't listen
         */
        public Either<TransportFailure, PeerNetwork> open() {
            ServerSocketChannel server = null;
            Selector selector = null;
            try {
                server = ServerSocketChannel.open();
                selector = Selector.open();
                server.configureBlocking(false);
                server.bind(mListenAddress, LISTEN_BACKLOG);
                PeerNetwork network = new PeerNetwork(this, selector, server);
                network.mLinks.update(mPeers);
                network.mPeerIo.start();
                return Either.right(network);
            } catch (IOException | RuntimeException fault) {
                closeQuietly(server);
                closeQuietly(selector);
                return Either.left(
                        new TransportFailure.ListenFailed(
                                mListenAddress.toString(), String.valueOf(fault.getMessage())));
            }
        }

        private static void closeQuietly(@Nullable AutoCloseable resource) {
            try {
                if (resource != null) {
                    resource.close();
                }
            } catch (Exception ignored) {
                // The failure to listen is what the caller needs to know.
            }
        }
    }

    // Life-cycle.

    /** Closes all connections and waits for the thread; open requests fail. */
    @Override
    public void close() {
        mPeerIo.stop();
    }

    // Public API.

    /** Returns the address that peers connect to. */
    public InetSocketAddress localAddress() {
        return mLocalAddress;
    }

    /** Replaces the member list: connections to peers that left or moved are closed. */
    public void peers(Map<InstanceId, InetSocketAddress> peers) {
        mPeerIo.reconcile(mLinks.update(peers));
    }

    /** Sets or replaces the handler of a type. */
    public void handle(int type, PeerHandler handler) {
        mHandlers.put(type, handler);
    }

    /** Returns whether there is an authenticated connection to the peer now. */
    public boolean connected(InstanceId peer) {
        Link link = mLinks.get(peer);
        return link != null && link.established() != null;
    }

    /** Returns why the latest connection dialled to the peer ended, if one has. */
    public Option<TransportFailure> lastFailure(InstanceId peer) {
        return Option.of(mLinks.get(peer)).flatMap(link -> Option.of(link.lastFailure()));
    }

    /**
     * Sends a frame that expects no answer. It may still be lost after it was queued.
     *
     * @param type chooses the peer's handler
     * @return why the frame was dropped at once, or nothing if it was queued
     */
    public Option<TransportFailure> send(InstanceId peer, int type, Bytes payload) {
        return route(peer, payload)
                .fold(
                        Option::of,
                        connection ->
                                connection.offer(Outgoing.of(FrameKind.ONE_WAY, 0, type, payload)));
    }

    /**
     * Sends a request. Never sent twice; an answer that comes after the time limit is dropped.
     *
     * @param type chooses the peer's handler
     * @param timeoutNanos time until the request fails
     * @return completes with the answer or a failure, never exceptionally
     */
    public CompletableFuture<Either<TransportFailure, Bytes>> request(
            InstanceId peer, int type, Bytes payload, long timeoutNanos) {
        return route(peer, payload)
                .fold(
                        Connection::failed,
                        connection -> connection.request(type, payload, timeoutNanos));
    }

    /** Returns the counters. */
    public TransportStatistics statistics() {
        return mResources.statistics(mPeerIo.connectionCount());
    }

    // Helpers.

    private Either<TransportFailure, Connection> route(InstanceId peer, Bytes payload) {
        int limitBytes = mResources.limits().payloadBytes();
        if (payload.size() > limitBytes) {
            return Either.left(new TransportFailure.PayloadTooLarge(payload.size(), limitBytes));
        }
        Link link = mLinks.get(peer);
        if (link == null) {
            return Either.left(new TransportFailure.UnknownPeer(peer));
        }
        Connection connection = link.established();
        return connection == null
                ? Either.left(new TransportFailure.NotConnected(peer))
                : Either.right(connection);
    }
}
