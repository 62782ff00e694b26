package dev.kumquatweir.gateway.http;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.stop.QuietRounds;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.AttributeKey;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.api.ConnectExecutionStrategy;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.ConnectionInfo;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.LateConnectionAcceptor;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * The connections of one listener and how they end at a planned stop: none is closed on which a
 * request may have arrived. Thread-safe; each connection is confined to its I/O thread.
 */
public final class ServerConnections {
    private static final EventLog LOG = EventLog.of(ServerConnections.class);
    private static final AttributeKey<Connection> CONNECTION =
            AttributeKey.valueOf(ServerConnections.class, "connection");

    /** Bound on the lines about connections that end in a stop. */
    private static final int MAXIMUM_LINES = 500;

    /** Time that callers who keep connecting may hold the listening socket open. */
    private static final long MAXIMUM_LISTEN_MILLIS = 1_000;

    private final String mName;
    private final Clocks mClocks;
    private final IoExecutor mExecutor;
    private final ConnectionGuard.Group mGuard;
    private final Set<Connection> mOpen = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mLines = new AtomicInteger();
    private volatile boolean mStopping;
    private volatile boolean mClosing;
    private volatile @Nullable Channel mListener;
    private volatile long mLastAcceptNanos;

    /**
     * @param name name of the listener in the log
     * @param executor the I/O threads
     * @param guard keeps each connection within its limits
     */
    public ServerConnections(
            String name, Clocks clocks, IoExecutor executor, ConnectionGuard.Group guard) {
        mName = name;
        mClocks = clocks;
        mExecutor = executor;
        mGuard = guard;
        mLastAcceptNanos = clocks.nowNanos();
    }

    /** Returns what notes each connection before its first request is read. */
    public LateConnectionAcceptor acceptor() {
        return new Acceptor();
    }

    /** Returns a service that notes the requests of each connection. */
    public StreamingHttpService track(StreamingHttpService service) {
        return (context, request, responses) -> handle(service, context, request, responses);
    }

    /** Lets each further response close its connection. */
    public void beginStop() {
        mStopping = true;
    }

    /**
     * Closes the listening socket and each connection once nothing comes any more. Each request
     * that comes before is served. The listening socket is closed a second later at the latest, so
     * that callers who keep connecting don't hold it open.
     *
     * @param latestNanos time at which all is closed in any case
     */
    public Future<?> close(HttpServerContext server, long latestNanos) {
        mStopping = true;
        mClosing = true;
        mOpen.forEach(connection -> connection.mLoop.execute(connection::closeWhenQuiet));
        CompletableFuture<Object> closed = new CompletableFuture<>();
        Channel listener = mListener;
        QuietRounds rounds = new QuietRounds();
        Executor loop = listener == null ? mExecutor::execute : listener.eventLoop();
        long listenNanos =
                mClocks.nowNanos() + TimeUnit.MILLISECONDS.toNanos(MAXIMUM_LISTEN_MILLIS);
        loop.execute(() -> closeListener(server, rounds, listenNanos, latestNanos, closed));
        return closed;
    }

    private Single<StreamingHttpResponse> handle(
            StreamingHttpService service,
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses) {
        Connection connection =
                context instanceof NettyConnectionContext netty
                        ? netty.nettyChannel().attr(CONNECTION).get()
                        : null;
        if (connection == null) {
            return service.handle(context, request, responses).map(this::closing);
        }
        Runnable ended = connection.beginRequest();
        return service.handle(context, request, responses)
                .map(this::closing)
                .map(response -> response.transformPayloadBody(body -> body.beforeFinally(ended)))
                .beforeOnError(failure -> ended.run())
                .beforeCancel(ended);
    }

    private StreamingHttpResponse closing(StreamingHttpResponse response) {
        return mStopping
                ? response.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                : response;
    }

    private void closeListener(
            HttpServerContext server,
            QuietRounds rounds,
            long listenNanos,
            long latestNanos,
            CompletableFuture<Object> closed) {
        long nowNanos = mClocks.nowNanos();
        logRound(rounds.begin(nowNanos));
        Channel listener = mListener;
        boolean quiet =
                rounds.quietSince(mLastAcceptNanos, nowNanos) || nowNanos - listenNanos >= 0;
        if (quiet && listener != null) {
            Future<?> _ = listener.close();
        }
        boolean ended = quiet && mOpen.stream().allMatch(connection -> connection.mRoundClosed);
        if (ended || nowNanos - latestNanos >= 0) {
            server.closeAsyncGracefully().whenFinally(() -> closed.complete(mName)).subscribe();
            return;
        }
        Runnable next = () -> closeListener(server, rounds, listenNanos, latestNanos, closed);
        if (listener == null) {
            mExecutor.schedule(next, QuietRounds.ROUND_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            scheduleRound(listener.eventLoop(), next);
        }
    }

    private static void scheduleRound(EventLoop loop, Runnable round) {
        Future<?> _ = loop.schedule(round, QuietRounds.ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean mayLog() {
        return mLines.getAndIncrement() < MAXIMUM_LINES;
    }

    private void logRound(long lateNanos) {
        if (mayLog()) {
            LOG.info(
                    "connections_closing",
                    "listener",
                    mName,
                    "open",
                    mOpen.size(),
                    "late_ms",
                    TimeUnit.NANOSECONDS.toMillis(lateNanos));
        }
    }

    /** Notes each connection. */
    private final class Acceptor implements LateConnectionAcceptor {
        @Override
        public Completable accept(ConnectionContext accepted) {
            if (accepted instanceof NettyConnectionContext context) {
                mLastAcceptNanos = mClocks.nowNanos();
                Channel channel = context.nettyChannel();
                mListener = channel.parent();
                Connection connection =
                        new Connection(context, channel.eventLoop(), mGuard.install(channel));
                channel.attr(CONNECTION).set(connection);
                channel.pipeline().addFirst(connection);
                mOpen.add(connection);
                if (mClosing) {
                    connection.mLoop.execute(connection::closeWhenQuiet);
                }
            }
            return Completable.completed();
        }

        /** Replaced by the method above, but still abstract. */
        @Override
        @SuppressWarnings("deprecation")
        public Completable accept(ConnectionInfo accepted) {
            return Completable.completed();
        }

        @Override
        public ConnectExecutionStrategy requiredOffloads() {
            return ConnectExecutionStrategy.offloadNone();
        }
    }

    /** One connection. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private final ConnectionContext mContext;
        private final EventLoop mLoop;
        private final GuardedConnection mGuarded;
        private final QuietRounds mRounds = new QuietRounds();
        private int mRequests;
        private int mRunning;
        private boolean mPartial;
        private boolean mRoundsBegun;
        private volatile boolean mRoundClosed;
        private long mLateNanos;
        private long mLastNanos;

        Connection(ConnectionContext context, EventLoop loop, GuardedConnection guarded) {
            mContext = context;
            mLoop = loop;
            mGuarded = guarded;
            mLastNanos = mClocks.nowNanos();
        }

        /** Begins to check in rounds whether the connection is quiet. */
        void closeWhenQuiet() {
            if (!mRoundsBegun) {
                mRoundsBegun = true;
                closeIfQuiet();
            }
        }

        private void closeIfQuiet() {
            long nowNanos = mClocks.nowNanos();
            mLateNanos = Math.max(mLateNanos, mRounds.begin(nowNanos));
            boolean idle = mRunning == 0 && !mPartial;
            if (idle && mRounds.quietSince(mLastNanos, mClocks.nowNanos())) {
                mRoundClosed = true;
                mContext.closeAsyncGracefully().subscribe();
            } else if (mOpen.contains(this)) {
                scheduleRound(mLoop, this::closeIfQuiet);
            }
        }

        /** Returns what to run at the end of the response; further runs have no effect. */
        Runnable beginRequest() {
            mRequests++;
            mRunning++;
            AtomicBoolean ended = new AtomicBoolean();
            return () -> {
                if (ended.getAndSet(true)) {
                    return;
                }
                if (mLoop.inEventLoop()) {
                    endRequest();
                } else {
                    // A response may be completed by another thread.
                    mLoop.execute(this::endRequest);
                }
            };
        }

        private void endRequest() {
            mRunning--;
            mPartial = false;
            mGuarded.responseEnded();
            mLastNanos = mClocks.nowNanos();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mPartial = true;
            mLastNanos = mClocks.nowNanos();
            context.fireChannelRead(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mOpen.remove(this);
            if (mStopping && mayLog()) {
                LOG.info(
                        "connection_closed_in_stop",
                        "listener",
                        mName,
                        "caller",
                        mContext.remoteAddress(),
                        "requests",
                        mRequests,
                        "running",
                        mRunning,
                        "partial",
                        mPartial,
                        "by_round",
                        mRoundClosed,
                        "quiet_ms",
                        TimeUnit.NANOSECONDS.toMillis(mClocks.nowNanos() - mLastNanos),
                        "late_ms",
                        TimeUnit.NANOSECONDS.toMillis(mLateNanos));
            }
            context.fireChannelInactive();
        }
    }
}
