package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.UnresolvedAddressException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * The duty {@code peer-io}: one thread with a selector that owns all connections. It has its own
 * loop, since {@code Duty} waits on a queue and a selector can't be woken by one.
 */
final class PeerIo implements Connection.Owner {
    private static final EventLog LOG = EventLog.of(PeerIo.class);
    // Deadlines are met to this precision, which bounds the scans of all connections to 100/s.
    private static final long CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long LONGEST_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long INBOUND_LOG_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Handshake.Identity mIdentity;
    private final boolean mAcceptUnlisted;
    private final IoResources mResources;
    private final LinkTable mLinks;
    private final Map<Integer, PeerHandler> mHandlers;
    private final Selector mSelector;
    private final ServerSocketChannel mServer;
    private final SelectionKey mServerKey;
    private final InboundConnections mInbound;
    private final LogLimiter mInboundLog = new LogLimiter(INBOUND_LOG_NANOS);
    private final Map<Connection, Option<Link>> mConnections = new HashMap<>();
    private final Queue<Runnable> mTasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mWoken = new AtomicBoolean();
    private final SecureRandom mRandom = new SecureRandom();
    private final Thread mThread = new Thread(this::run, "peer-io");
    private long mNextCheckNanos;
    private volatile int mConnectionCount;
    private volatile boolean mStopped;

    PeerIo(
            Handshake.Identity identity,
            boolean acceptUnlisted,
            IoResources resources,
            LinkTable links,
            ConcurrentHashMap<Integer, PeerHandler> handlers,
            Selector selector,
            ServerSocketChannel server)
            throws IOException {
        mIdentity = identity;
        mAcceptUnlisted = acceptUnlisted;
        mResources = resources;
        mLinks = links;
        mHandlers = handlers;
        mSelector = selector;
        mServer = server;
        mServerKey = server.register(selector, SelectionKey.OP_ACCEPT);
        mInbound = new InboundConnections(resources.limits());
        mNextCheckNanos = resources.nowNanos();
        mThread.setDaemon(true);
    }

    // Any thread.

    void start() {
        mThread.start();
    }

    /** Closes everything and waits for the thread to end, unless called on it. */
    void stop() {
        mStopped = true;
        mSelector.wakeup();
        if (Thread.currentThread() == mThread) {
            return;
        }
        try {
            mThread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a task on the I/O thread. */
    void execute(Runnable task) {
        mTasks.add(task);
        // One wake-up for a batch of tasks: each one is a system call.
        if (Thread.currentThread() != mThread && mWoken.compareAndSet(false, true)) {
            mSelector.wakeup();
        }
    }

    /** Takes a changed member list into account. */
    void reconcile(List<Link> unused) {
        execute(
                () -> {
                    unused.forEach(link -> closeUnused(link.current()));
                    mInbound.byPeer()
                            .forEach(
                                    (peer, connection) -> {
                                        if (!mAcceptUnlisted && mLinks.get(peer) == null) {
                                            closeUnused(connection);
                                        }
                                    });
                    mNextCheckNanos = mResources.nowNanos();
                });
    }

    int connectionCount() {
        return mConnectionCount;
    }

    @Override
    public void requestFlush(Connection connection) {
        execute(
                () -> {
                    connection.flush();
                    scheduleCheck(connection);
                });
    }

    // I/O thread.

    @Override
    public Option<TransportFailure> authenticated(Connection connection, String theirInstance) {
        Option<Link> link = mConnections.getOrDefault(connection, Option.none());
        if (link.isDefined()) {
            InstanceId expected = link.get().peer();
            if (!expected.value().equals(theirInstance)) {
                return unexpected(connection, theirInstance);
            }
            connection.accepted(expected);
            link.get().authenticated(connection);
            LOG.info("peer_connected", "peer", expected);
            return Option.none();
        }
        boolean listed = mLinks.contains(theirInstance);
        boolean self = theirInstance.equals(mIdentity.instance());
        if (self || !(listed || mAcceptUnlisted)) {
            return unexpected(connection, theirInstance);
        }
        InstanceId peer = new InstanceId(theirInstance);
        Option<TransportFailure> refusal = mInbound.authenticated(connection, peer);
        if (refusal.isEmpty()) {
            connection.accepted(peer);
        }
        return refusal;
    }

    @Override
    public void closed(Connection connection, TransportFailure failure) {
        long nowNanos = mResources.nowNanos();
        Option<Link> link = mConnections.getOrDefault(connection, Option.none());
        mConnections.remove(connection);
        mConnectionCount = mConnections.size();
        mInbound.closed(connection);
        link.peek(
                used -> {
                    used.closed(failure);
                    used.backoff().failed(connection.authenticatedForNanos(nowNanos), nowNanos);
                });
        mNextCheckNanos = nowNanos;
        LogLimiter limiter = link.map(Link::logLimiter).getOrElse(mInboundLog);
        if (!mStopped && limiter.permits(failure.code(), nowNanos)) {
            LOG.failure(
                    "peer_connection_closed",
                    failure,
                    "remote",
                    connection.remote(),
                    "direction",
                    connection.dialler() ? "outbound" : "inbound",
                    "suppressed",
                    limiter.takeSuppressed());
        }
    }

    @Override
    public void deliver(Connection connection, InstanceId peer, Frame frame) {
        PeerHandler handler = mHandlers.get(frame.type());
        if (handler == null) {
            refuse(connection, frame, RefusalReason.NO_HANDLER);
            return;
        }
        try {
            handler.handle(peer, frame.payload(), responder(connection, frame));
        } catch (RuntimeException fault) {
            LOG.error("peer_handler_failed", fault, "peer", peer, "type", frame.type());
            refuse(connection, frame, RefusalReason.HANDLER_FAILED);
        }
    }

    private Responder responder(Connection connection, Frame frame) {
        AtomicBoolean used = new AtomicBoolean(frame.kind() != FrameKind.REQUEST);
        int limitBytes = mResources.limits().payloadBytes();
        return payload -> {
            if (payload.size() > limitBytes) {
                return Option.of(new TransportFailure.PayloadTooLarge(payload.size(), limitBytes));
            }
            return used.compareAndSet(false, true)
                    ? connection.offer(
                            Outgoing.of(FrameKind.RESPONSE, frame.correlation(), 0, payload))
                    : Option.none();
        };
    }

    private static void refuse(Connection connection, Frame frame, RefusalReason reason) {
        if (frame.kind() == FrameKind.REQUEST) {
            // Dropped if the queue is full: the requester's time limit ends its request then.
            connection.offer(
                    Outgoing.of(
                            FrameKind.REFUSAL, frame.correlation(), reason.code(), Bytes.EMPTY));
        }
    }

    private void run() {
        while (!mStopped) {
            try {
                select();
                runTasks();
                checkIfDue();
            } catch (IOException | RuntimeException | Error fault) {
                LOG.error("peer_io_fault", fault);
            }
        }
        shutDown();
    }

    private void select() throws IOException {
        long waitNanos = mNextCheckNanos - mResources.nowNanos();
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(waitNanos + 999_999);
        if (waitMillis > 0 && mTasks.isEmpty()) {
            mSelector.select(this::handle, waitMillis);
        } else {
            mSelector.selectNow(this::handle);
        }
        mWoken.set(false);
    }

    private void handle(SelectionKey key) {
        if (key == mServerKey) {
            acceptConnection();
            return;
        }
        Connection connection = (Connection) key.attachment();
        try {
            if (key.isConnectable()) {
                ((SocketChannel) key.channel()).finishConnect();
                connection.begin();
                return;
            }
            if (key.isReadable()) {
                connection.read();
            }
            if (key.isValid() && key.isWritable()) {
                connection.write();
            }
        } catch (IOException | RuntimeException | Error fault) {
            // Bytes of this read may be lost, so the frames that follow can't be told apart.
            connection.close(connectionLost(connection.remote(), fault));
        }
    }

    private void runTasks() {
        // Bounded by the tasks present now, so that reading and deadlines get their turn.
        for (int left = mTasks.size(); left > 0; left--) {
            Runnable task = mTasks.poll();
            if (task == null) {
                return;
            }
            task.run();
        }
    }

    /** Runs after reading, so that a thread that was held up sees waiting bytes before silence. */
    private void checkIfDue() {
        long nowNanos = mResources.nowNanos();
        if (nowNanos - mNextCheckNanos < 0) {
            return;
        }
        List.copyOf(mConnections.keySet()).forEach(connection -> connection.check(nowNanos));
        long waitNanos = LONGEST_WAIT_NANOS;
        for (Link link : mLinks.all()) {
            if (link.current() == null) {
                dialIfDue(link, nowNanos);
                waitNanos = Math.min(waitNanos, link.backoff().waitNanos(nowNanos));
            }
        }
        for (Connection connection : mConnections.keySet()) {
            waitNanos = Math.min(waitNanos, connection.waitNanos(nowNanos));
        }
        mNextCheckNanos = nowNanos + Math.max(waitNanos, CHECK_NANOS);
        if (!mServerKey.isValid() || mServerKey.interestOps() == 0) {
            mServerKey.interestOps(SelectionKey.OP_ACCEPT);
        }
    }

    private void scheduleCheck(Connection connection) {
        long nowNanos = mResources.nowNanos();
        long dueNanos = nowNanos + Math.max(connection.waitNanos(nowNanos), CHECK_NANOS);
        if (dueNanos - mNextCheckNanos < 0) {
            mNextCheckNanos = dueNanos;
        }
    }

    private void acceptConnection() {
        try {
            SocketChannel channel = mServer.accept();
            if (channel == null) {
                return;
            }
            String remote = String.valueOf(channel.getRemoteAddress());
            Option<TransportFailure> refusal = mInbound.refusal(remote);
            if (refusal.isDefined()) {
                channel.close();
                logRefusal(refusal.get());
                return;
            }
            Connection connection = register(channel, 0, remote, Option.none());
            mInbound.opened(connection);
            connection.begin();
        } catch (IOException fault) {
            // Out of file descriptors, for instance: the key stays ready, so accepting pauses until
            // the next check instead of spinning.
            mServerKey.interestOps(0);
            logRefusal(connectionLost("listener", fault));
        }
    }

    private void logRefusal(TransportFailure failure) {
        if (mInboundLog.permits(failure.code(), mResources.nowNanos())) {
            LOG.failure("peer_refused", failure, "suppressed", mInboundLog.takeSuppressed());
        }
    }

    private void dialIfDue(Link link, long nowNanos) {
        if (link.backoff().waitNanos(nowNanos) > 0) {
            return;
        }
        String remote = link.peer().value();
        @Nullable SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            Connection connection =
                    register(channel, SelectionKey.OP_CONNECT, remote, Option.of(link));
            link.dialled(connection);
            if (channel.connect(link.address())) {
                connection.begin();
            }
        } catch (IOException | UnresolvedAddressException fault) {
            Connection connection = link.current();
            if (connection != null) {
                connection.close(connectionLost(remote, fault));
                return;
            }
            link.backoff().failed(0, nowNanos);
            closeQuietly(channel);
            logRefusal(connectionLost(remote, fault));
        }
    }

    private Connection register(
            SocketChannel channel, int interest, String remote, Option<Link> link)
            throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        byte[] challenge = new byte[Handshake.CHALLENGE_BYTES];
        mRandom.nextBytes(challenge);
        boolean dialler = link.isDefined();
        Handshake handshake =
                new Handshake(dialler, mIdentity, remote, challenge, mRandom.nextLong());
        SelectionKey key = channel.register(mSelector, interest);
        Connection connection =
                new Connection(this, mResources, channel, key, dialler, remote, handshake);
        key.attach(connection);
        mConnections.put(connection, link);
        mConnectionCount = mConnections.size();
        scheduleCheck(connection);
        return connection;
    }

    private void shutDown() {
        List.copyOf(mConnections.keySet())
                .forEach(connection -> connection.close(new TransportFailure.Stopped()));
        try {
            mServer.close();
            mSelector.close();
        } catch (IOException | ClosedSelectorException fault) {
            LOG.error("peer_io_close_failed", fault);
        }
    }

    private static void closeUnused(@Nullable Connection connection) {
        if (connection != null) {
            connection.close(
                    new TransportFailure.ConnectionLost(
                            connection.remote(), "no longer in the member list"));
        }
    }

    private static void closeQuietly(@Nullable SocketChannel channel) {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException ignored) {
                // Nothing was sent on it.
            }
        }
    }

    private static TransportFailure connectionLost(String remote, Throwable fault) {
        String problem = fault.getMessage();
        return new TransportFailure.ConnectionLost(
                remote, problem == null ? fault.getClass().getSimpleName() : problem);
    }

    private static Option<TransportFailure> unexpected(Connection connection, String instance) {
        return Option.of(new TransportFailure.UnexpectedPeer(connection.remote(), instance));
    }
}
