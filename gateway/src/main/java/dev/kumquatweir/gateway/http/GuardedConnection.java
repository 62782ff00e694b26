package dev.kumquatweir.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.servicetalk.http.api.HttpRequestMetaData;
import io.servicetalk.transport.netty.internal.CloseHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one accepted connection within its limits. Bytes are held back while too many requests wait
 * for their responses, and nothing is read while the shared budget is used up. Confined to the I/O
 * thread of the connection unless said otherwise.
 */
final class GuardedConnection extends ChannelDuplexHandler {
    /** Bytes decoded at a time, so that few requests are decoded beyond the limit. */
    private static final int BODY_PIECE_BYTES = 4 << 10;

    private static final int HEAD_PIECE_BYTES = 1 << 10;

    /** Estimate of the memory that a decoded request takes besides its head. */
    private static final long REQUEST_BYTES = 1 << 10;

    /** Memory of the heads of waiting requests above which no further request is decoded. */
    private static final long WAITING_HEAD_BYTES = 64 << 10;

    /** Time between two checks of a connection on which something is outstanding. */
    private static final long CHECK_MILLIS = 250;

    private final ConnectionGuard.Group mGroup;
    private final Channel mChannel;
    private final String mAddress;
    private final HeadMeter mMeter;
    private final Queue<ByteBuf> mHeld = new ArrayDeque<>();
    private final Queue<Long> mWaitingHeads = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext mContext;
    private long mHeldBytes;
    private long mBudgetBytes;
    private long mWaitingHeadBytes;
    private int mWaiting;
    private boolean mInBody;
    private boolean mReadWanted;
    private boolean mReadDeferred;
    private boolean mDelivering;
    private boolean mResumeScheduled;
    private int mTurnRequests;
    private boolean mClosed;
    private boolean mCheckScheduled;
    private long mHeadNanos;
    private boolean mHeadStarted;
    private long mBodyNanos;
    private long mUnreadNanos;
    private @Nullable Object mUnreadMessage;
    private long mUnreadProgress;
    private volatile boolean mBusy;
    private volatile boolean mHadRequest;
    private volatile boolean mIncomplete;
    private volatile long mHeadBytes;
    private volatile long mLastNanos;

    GuardedConnection(ConnectionGuard.Group group, Channel channel) {
        mGroup = group;
        mChannel = channel;
        mAddress =
                channel.remoteAddress() instanceof InetSocketAddress remote
                        ? remote.getAddress().getHostAddress()
                        : "";
        mMeter = new HeadMeter(group.limits().headBytes(), group.limits().headFields());
        mLastNanos = group.nowNanos();
    }

    void install(ChannelPipeline pipeline) {
        pipeline.addFirst(this);
        pipeline.addBefore(pipeline.lastContext().name(), null, new Decoded());
    }

    /** Returns whether a request has no complete response. Called by any thread. */
    boolean busy() {
        return mBusy;
    }

    /** Returns whether a head was ever complete. Called by any thread. */
    boolean hadRequest() {
        return mHadRequest;
    }

    /** Returns the memory of the heads and trailers that it holds. Called by any thread. */
    long headBytes() {
        return mHeadBytes;
    }

    /** Returns whether a request, its head or its trailers are incomplete. Called by any thread. */
    boolean incomplete() {
        return mIncomplete;
    }

    /**
     * Closes the connection if a request is still incomplete. Called by any thread; at once on the
     * I/O thread, since hundreds of connections may be read before its next task.
     */
    void closeIncomplete() {
        mIncomplete = false;
        if (!mChannel.eventLoop().inEventLoop()) {
            mChannel.eventLoop().execute(this::closeIncomplete);
        } else if (mMeter.bytes() > 0 || mInBody) {
            close(LimitCause.MEMORY);
        }
    }

    /** Returns when something was last read or written. Called by any thread. */
    long lastNanos() {
        return mLastNanos;
    }

    /**
     * Closes the connection unless a request has come meanwhile. Called by any thread; at once on
     * the I/O thread, so that many connections at a time don't use up the descriptors first.
     */
    void closeIfNotBusy(LimitCause cause) {
        if (!mChannel.eventLoop().inEventLoop()) {
            mChannel.eventLoop().execute(() -> closeIfNotBusy(cause));
        } else if (!mBusy) {
            close(cause);
        } else if (!mClosed) {
            mGroup.keep(this);
        }
    }

    /** Notes that the response to the oldest request has ended. */
    void responseEnded() {
        mWaiting--;
        @Nullable Long headBytes = mWaitingHeads.poll();
        mWaitingHeadBytes -= headBytes == null ? 0 : headBytes;
        mBusy = mWaiting > 0 || mInBody;
        mLastNanos = mGroup.nowNanos();
        if (!mHeld.isEmpty() && !mResumeScheduled) {
            mResumeScheduled = true;
            mChannel.eventLoop().execute(this::resume);
        }
    }

    // Reading.

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    public void read(ChannelHandlerContext context) {
        mReadWanted = true;
        if (mDelivering) {
            mReadDeferred = true;
            return;
        }
        if (!mHeld.isEmpty() || !mGroup.budget().mayRead(mAddress, mBudgetBytes)) {
            mReadDeferred = true;
            scheduleCheck();
            return;
        }
        mReadDeferred = false;
        if (mInBody) {
            mBodyNanos = mGroup.nowNanos();
            scheduleCheck();
        }
        context.read();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!(message instanceof ByteBuf bytes)) {
            super.channelRead(context, message);
            return;
        }
        mLastNanos = mGroup.nowNanos();
        mBodyNanos = mLastNanos;
        if (mClosed) {
            bytes.release();
            return;
        }
        mReadWanted = false;
        mHeld.add(bytes);
        mHeldBytes += bytes.readableBytes();
        deliver(context, false);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        account();
        context.fireChannelReadComplete();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent
                || event instanceof ChannelInputShutdownReadComplete) {
            // What was received before the end is read before it.
            deliver(context, true);
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosed = true;
        dropHeld();
        account();
        mGroup.closed(this);
        context.fireChannelInactive();
    }

    /** Decodes held bytes until too many requests wait. */
    private void deliver(ChannelHandlerContext context, boolean all) {
        if (mDelivering) {
            return;
        }
        mDelivering = true;
        try {
            while (!mHeld.isEmpty() && !mClosed && (all || mayDecode())) {
                deliverPiece(context, mHeld.element());
            }
        } finally {
            mDelivering = false;
            mTurnRequests = 0;
        }
        if (mClosed) {
            dropHeld();
        } else if (mReadDeferred) {
            read(context);
        }
    }

    /** Whether few requests wait or were decoded in this turn, so that other connections go on. */
    private boolean mayDecode() {
        return mInBody
                || (Math.max(mWaiting, mTurnRequests) < mGroup.limits().pipelinedRequests()
                        && mWaitingHeadBytes < WAITING_HEAD_BYTES);
    }

    private void deliverPiece(ChannelHandlerContext context, ByteBuf bytes) {
        int size = Math.min(bytes.readableBytes(), mInBody ? BODY_PIECE_BYTES : HEAD_PIECE_BYTES);
        ByteBuf piece;
        if (size == bytes.readableBytes()) {
            mHeld.remove();
            piece = bytes;
        } else {
            piece = bytes.readRetainedSlice(size);
        }
        mHeldBytes -= size;
        mMeter.add(piece);
        context.fireChannelRead(piece);
        if (mMeter.tooManyBytes() || mMeter.tooManyLines()) {
            close(excess());
        } else if (mMeter.started() && !mInBody) {
            if (!mHeadStarted) {
                mHeadStarted = true;
                mHeadNanos = mGroup.nowNanos();
            }
            scheduleCheck();
        }
    }

    private LimitCause excess() {
        if (mInBody) {
            return LimitCause.TRAILERS;
        }
        if (mMeter.onlyEmptyLines()) {
            return LimitCause.EMPTY_LINES;
        }
        return mMeter.tooManyBytes() ? LimitCause.HEAD_BYTES : LimitCause.HEAD_FIELDS;
    }

    private void dropHeld() {
        mHeld.forEach(ByteBuf::release);
        mHeld.clear();
        mHeldBytes = 0;
    }

    /** Goes on with what was held back. */
    private void resume() {
        mResumeScheduled = false;
        ChannelHandlerContext context = mContext;
        if (context == null || mClosed) {
            return;
        }
        if (!mHeld.isEmpty() && mayDecode()) {
            deliver(context, false);
            context.fireChannelReadComplete();
        }
        account();
        if (mReadDeferred && !mClosed) {
            read(context);
        }
    }

    // Writing.

    @Override
    public void flush(ChannelHandlerContext context) {
        context.flush();
        mLastNanos = mGroup.nowNanos();
        account();
        if (pendingBytes() > 0) {
            scheduleCheck();
        }
    }

    private long pendingBytes() {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private void account() {
        long bytes =
                mClosed
                        ? 0
                        : mMeter.bytes()
                                + mHeldBytes
                                + pendingBytes()
                                + mWaitingHeadBytes
                                + mWaiting * REQUEST_BYTES;
        mGroup.budget().change(mAddress, mBudgetBytes, bytes);
        mBudgetBytes = bytes;
        long headBytes = mClosed ? 0 : mMeter.decodedBytes() + mWaitingHeadBytes;
        long moreHeadBytes = headBytes - mHeadBytes;
        mHeadBytes = headBytes;
        mIncomplete = !mClosed && (mMeter.bytes() > 0 || mInBody);
        mGroup.changeHeadBytes(moreHeadBytes);
    }

    // Times.

    private void scheduleCheck() {
        if (!mCheckScheduled && !mClosed) {
            mCheckScheduled = true;
            Future<?> _ =
                    mChannel.eventLoop().schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        mCheckScheduled = false;
        if (mClosed) {
            return;
        }
        long nowNanos = mGroup.nowNanos();
        account();
        boolean stalled = mInBody && mReadWanted && !mReadDeferred;
        boolean unread = observeUnread(nowNanos);
        ConnectionLimits limits = mGroup.limits();
        if (mHeadStarted && passed(mHeadNanos, limits.headMillis(), nowNanos)) {
            close(LimitCause.HEAD_TIME);
        } else if (stalled && passed(mBodyNanos, limits.bodyStallMillis(), nowNanos)) {
            close(LimitCause.BODY_STALLED);
        } else if (unread && passed(mUnreadNanos, mGroup.unreadMillis(), nowNanos)) {
            close(LimitCause.RESPONSE_UNREAD);
        } else {
            resume();
            if (mHeadStarted || stalled || unread || mReadDeferred) {
                scheduleCheck();
            }
        }
    }

    private static boolean passed(long sinceNanos, long millis, long nowNanos) {
        return nowNanos - sinceNanos > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns whether written bytes wait; notes since when none of them was taken. */
    private boolean observeUnread(long nowNanos) {
        ChannelOutboundBuffer buffer = mChannel.unsafe().outboundBuffer();
        Object message = buffer == null ? null : buffer.current();
        if (buffer == null || message == null) {
            mUnreadMessage = null;
            return false;
        }
        long progress = buffer.currentProgress();
        if (message != mUnreadMessage || progress != mUnreadProgress) {
            mUnreadMessage = message;
            mUnreadProgress = progress;
            mUnreadNanos = nowNanos;
        }
        return true;
    }

    private void close(LimitCause cause) {
        ChannelHandlerContext context = mContext;
        if (mClosed || context == null) {
            return;
        }
        mClosed = true;
        mGroup.count(mChannel, cause, mMeter.bytes());
        dropHeld();
        account();
        if (mWaiting > 0 || mInBody || cause.response().isEmpty()) {
            // A request may have been forwarded or a response has begun.
            ChannelFuture _ = context.close();
            return;
        }
        ByteBuf response = Unpooled.copiedBuffer(cause.response(), StandardCharsets.US_ASCII);
        ChannelFuture _ = context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Sees requests between the codec and the library's connection. */
    private final class Decoded extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            long headBytes = mMeter.decodedBytes();
            mMeter.reset();
            if (message instanceof HttpRequestMetaData) {
                mHeadStarted = false;
                mWaitingHeads.add(headBytes);
                mWaitingHeadBytes += headBytes;
                mWaiting++;
                mTurnRequests++;
                mInBody = true;
                mBusy = true;
                mHadRequest = true;
            }
            super.channelRead(context, message);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event)
                throws Exception {
            if (event == CloseHandler.InboundDataEndEvent.INSTANCE) {
                mInBody = false;
                mBusy = mWaiting > 0;
            }
            super.userEventTriggered(context, event);
        }
    }
}
