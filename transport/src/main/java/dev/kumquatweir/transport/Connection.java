package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * One TCP connection with its handshake, queues and unanswered requests. {@link #offer} and {@link
 * #request} may be called from any thread, the rest only by the I/O thread.
 */
final class Connection {
    /** What a connection reports to the loop that owns it; called on the I/O thread. */
    interface Owner {
        /** The other side is authenticated; a returned failure closes the connection. */
        Option<TransportFailure> authenticated(Connection connection, String theirInstance);

        /** The connection is closed. Called once, before its requests fail. */
        void closed(Connection connection, TransportFailure failure);

        /** A request or one-way frame arrived. */
        void deliver(Connection connection, InstanceId peer, Frame frame);

        /** Asks for a call of {@link Connection#flush}; from any thread. */
        void requestFlush(Connection connection);
    }

    // Differences of monotonic times must not overflow.
    private static final long LONGEST_TIMEOUT_NANOS = Long.MAX_VALUE / 4;
    // Bounds the time that one busy connection keeps the others waiting.
    private static final int ROUNDS_PER_EVENT = 8;

    private final Owner mOwner;
    private final IoResources mResources;
    private final SocketChannel mChannel;
    private final SelectionKey mKey;
    private final boolean mDialler;
    private final String mRemote;
    private final Handshake mHandshake;
    private final FrameAssembler mAssembler;
    private final OutboundQueue mOutbound;
    private final PendingRequests mPending = new PendingRequests();
    private final AtomicLong mCorrelations = new AtomicLong();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicBoolean mFlushRequested = new AtomicBoolean();
    private final long mOpenedNanos;
    private long mAuthenticatedNanos;
    private @Nullable Liveness mLiveness;
    private volatile @Nullable InstanceId mPeer;
    private volatile boolean mClosed;

    Connection(
            Owner owner,
            IoResources resources,
            SocketChannel channel,
            SelectionKey key,
            boolean dialler,
            String remote,
            Handshake handshake) {
        mOwner = owner;
        mResources = resources;
        mChannel = channel;
        mKey = key;
        mDialler = dialler;
        mRemote = remote;
        mHandshake = handshake;
        mAssembler = new FrameAssembler(remote, Handshake.FRAME_LIMIT_BYTES, resources.budget());
        mOutbound = new OutboundQueue(remote, resources.limits(), resources.codec());
        mOpenedNanos = resources.nowNanos();
    }

    // Any thread.

    /** Queues a frame, or returns why it can't be sent. */
    Option<TransportFailure> offer(Outgoing frame) {
        Option<TransportFailure> refused = mOutbound.offer(frame);
        if (refused.isDefined()) {
            return refused;
        }
        if (mClosed && mOutbound.withdraw(frame)) {
            return Option.of(lost());
        }
        if (mFlushRequested.compareAndSet(false, true)) {
            mOwner.requestFlush(this);
        }
        return Option.none();
    }

    /** Queues a request; the result always completes, at the latest after the time limit. */
    CompletableFuture<Either<TransportFailure, Bytes>> request(
            int type, Bytes payload, long timeoutNanos) {
        int limit = mResources.limits().unansweredRequests();
        if (mUnanswered.incrementAndGet() > limit) {
            mUnanswered.decrementAndGet();
            return failed(new TransportFailure.TooManyRequests(mRemote, limit));
        }
        long deadlineNanos = mResources.nowNanos() + Math.min(timeoutNanos, LONGEST_TIMEOUT_NANOS);
        PendingRequest request = new PendingRequest(mCorrelations.incrementAndGet(), deadlineNanos);
        Option<TransportFailure> refused =
                offer(
                        new Outgoing(
                                FrameKind.REQUEST, request.correlation(), type, payload, request));
        if (refused.isDefined()) {
            mUnanswered.decrementAndGet();
            return failed(refused.get());
        }
        return request.answer();
    }

    static CompletableFuture<Either<TransportFailure, Bytes>> failed(TransportFailure failure) {
        return CompletableFuture.completedFuture(Either.left(failure));
    }

    String remote() {
        return mRemote;
    }

    boolean dialler() {
        return mDialler;
    }

    /** Returns the authenticated peer, or null before that. */
    @Nullable InstanceId peer() {
        return mPeer;
    }

    // I/O thread.

    /** Sends the hello; call once the channel is connected. */
    void begin() {
        mKey.interestOps(SelectionKey.OP_READ);
        Frame hello = mHandshake.hello();
        mOutbound.addLast(Outgoing.of(hello.kind(), 0, 0, hello.payload()));
        write();
    }

    /** Reads and handles what has arrived. */
    void read() {
        try {
            for (int round = 0; round < ROUNDS_PER_EVENT && !mClosed; round++) {
                ByteBuffer buffer = mResources.clearedReadBuffer();
                int count = mChannel.read(buffer);
                if (count < 0) {
                    close(new TransportFailure.ConnectionLost(mRemote, "closed by the peer"));
                    return;
                }
                if (count == 0) {
                    return;
                }
                received(buffer.flip(), count);
                if (count < buffer.capacity()) {
                    return;
                }
            }
        } catch (IOException fault) {
            close(lost(fault));
        }
    }

    /** Takes over the offered frames and writes. */
    void flush() {
        // Cleared before draining: a frame offered after the drain asks for another flush.
        mFlushRequested.set(false);
        if (!mClosed) {
            drain();
            write();
        }
    }

    /** Writes what waits, as far as the socket takes it. */
    void write() {
        if (mClosed) {
            return;
        }
        try {
            for (int round = 0; round < ROUNDS_PER_EVENT; round++) {
                ByteBuffer buffer = mResources.clearedWriteBuffer();
                mOutbound.fill(mHandshake.epoch(), buffer);
                buffer.flip();
                int offered = buffer.remaining();
                int written = offered == 0 ? 0 : mChannel.write(buffer);
                wrote(written);
                if (written < offered || mOutbound.isEmpty()) {
                    break;
                }
            }
            int write = mOutbound.isEmpty() ? 0 : SelectionKey.OP_WRITE;
            mKey.interestOps(SelectionKey.OP_READ | write);
        } catch (IOException fault) {
            close(lost(fault));
        }
    }

    /** Does what is due at a time. */
    void check(long nowNanos) {
        Liveness liveness = mLiveness;
        if (liveness == null) {
            if (nowNanos - mOpenedNanos >= mResources.limits().handshakeNanos()) {
                close(new TransportFailure.HandshakeTimedOut(mRemote));
            }
            return;
        }
        for (PendingRequest request : mPending.takeExpired(nowNanos)) {
            end(request, Either.left(new TransportFailure.TimedOut(mRemote, request.sent())));
        }
        Liveness.Action action = liveness.check(nowNanos);
        if (action == Liveness.Action.CLOSE) {
            // Bytes may have arrived while a handler or the scheduler held up this thread.
            read();
            action = mClosed ? Liveness.Action.NONE : liveness.check(nowNanos);
        }
        switch (action) {
            case NONE -> {}
            case PING -> sendControl(FrameKind.PING, mCorrelations.incrementAndGet());
            case CLOSE -> {
                long silentMillis = liveness.silentNanos(nowNanos) / 1_000_000;
                close(new TransportFailure.SilentConnection(mRemote, silentMillis));
            }
        }
    }

    /** Returns how long {@link #check} may wait. */
    long waitNanos(long nowNanos) {
        Liveness liveness = mLiveness;
        return liveness == null
                ? mOpenedNanos + mResources.limits().handshakeNanos() - nowNanos
                : Math.min(liveness.waitNanos(nowNanos), mPending.waitNanos(nowNanos));
    }

    /** Returns how long the connection has been authenticated; zero if it never was. */
    long authenticatedForNanos(long nowNanos) {
        return mLiveness == null ? 0 : nowNanos - mAuthenticatedNanos;
    }

    /** Closes the channel and fails all requests. Has no effect when called again. */
    void close(TransportFailure failure) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mKey.cancel();
        try {
            mChannel.close();
        } catch (IOException ignored) {
            // The channel is unusable either way.
        }
        mAssembler.release();
        mOwner.closed(this, failure);
        drain();
        for (PendingRequest request : mPending.takeAll()) {
            end(request, Either.left(request.sent() ? failure : lost()));
        }
    }

    private void drain() {
        List<PendingRequest> requests = new ArrayList<>();
        mOutbound.drain(
                frame -> {
                    PendingRequest request = frame.request();
                    if (request != null) {
                        requests.add(request);
                    }
                });
        requests.forEach(mPending::add);
    }

    private void wrote(int bytes) {
        if (bytes > 0) {
            mResources.countSent(bytes, mOutbound.consume(bytes));
            Liveness liveness = mLiveness;
            if (liveness != null) {
                liveness.sent(mResources.nowNanos());
            }
        }
    }

    private void received(ByteBuffer buffer, int count) {
        mResources.countReceived(count);
        Liveness liveness = mLiveness;
        if (liveness != null) {
            liveness.received(mResources.nowNanos());
        }
        mAssembler.accept(buffer, this::acceptContent).peek(this::close);
    }

    private Option<TransportFailure> acceptContent(byte[] content) {
        if (mClosed) {
            return Option.of(lost());
        }
        mResources.countReceivedFrame();
        Either<TransportFailure, Frame> decoded = FrameCodec.decode(mRemote, content);
        if (decoded.isLeft()) {
            return Option.of(decoded.getLeft());
        }
        InstanceId peer = mPeer;
        Option<TransportFailure> failure =
                peer == null ? acceptHandshake(decoded.get()) : acceptFrame(peer, decoded.get());
        // A failed write may have closed the connection; the bytes that follow are not read then.
        return mClosed ? Option.of(lost()) : failure;
    }

    private Option<TransportFailure> acceptHandshake(Frame frame) {
        Either<TransportFailure, Option<Frame>> next = mHandshake.accept(frame);
        if (next.isLeft()) {
            return Option.of(next.getLeft());
        }
        next.get()
                .peek(
                        answer -> {
                            mOutbound.addLast(Outgoing.of(answer.kind(), 0, 0, answer.payload()));
                            write();
                        });
        if (!mHandshake.complete() || mClosed) {
            return Option.none();
        }
        mAuthenticatedNanos = mResources.nowNanos();
        PeerLimits limits = mResources.limits();
        mLiveness =
                new Liveness(
                        mDialler, limits.pingNanos(), limits.silenceNanos(), mAuthenticatedNanos);
        mAssembler.limitBytes(limits.frameBytes());
        return mOwner.authenticated(this, mHandshake.theirInstance());
    }

    /** Notes the peer once the owner has accepted it. */
    void accepted(InstanceId peer) {
        mPeer = peer;
    }

    private Option<TransportFailure> acceptFrame(InstanceId peer, Frame frame) {
        if (frame.epoch() != mHandshake.epoch()) {
            return malformed("the epoch is not that of the connection");
        }
        switch (frame.kind()) {
            case REQUEST, ONE_WAY -> mOwner.deliver(this, peer, frame);
            case RESPONSE -> answered(frame.correlation(), Either.right(frame.payload()));
            case REFUSAL -> {
                RefusalReason reason = RefusalReason.ofCode(frame.type());
                answered(
                        frame.correlation(),
                        Either.left(new TransportFailure.Refused(mRemote, reason)));
            }
            case PING -> sendControl(FrameKind.PONG, frame.correlation());
            case PONG -> {}
            case HELLO, PROOF -> {
                return malformed(frame.kind() + " after the handshake");
            }
        }
        return Option.none();
    }

    private void answered(long correlation, Either<TransportFailure, Bytes> result) {
        mPending.take(correlation)
                .peek(request -> end(request, result))
                .onEmpty(mResources::countLateAnswer);
    }

    private void end(PendingRequest request, Either<TransportFailure, Bytes> result) {
        mUnanswered.decrementAndGet();
        request.end(result);
    }

    private void sendControl(FrameKind kind, long correlation) {
        mOutbound.addControl(Outgoing.of(kind, correlation, 0, Bytes.EMPTY));
        write();
    }

    private Option<TransportFailure> malformed(String problem) {
        return Option.of(new TransportFailure.MalformedFrame(mRemote, problem));
    }

    private TransportFailure lost(IOException fault) {
        return new TransportFailure.ConnectionLost(mRemote, String.valueOf(fault.getMessage()));
    }

    private TransportFailure lost() {
        InstanceId peer = mPeer;
        return peer == null
                ? new TransportFailure.ConnectionLost(mRemote, "closed")
                : new TransportFailure.NotConnected(peer);
    }
}
