package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.LeaseCodec;
import dev.kumquatweir.agreement.lease.ConfigurationLeaseHolder;
import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.agreement.lease.LeaseRequest;
import dev.kumquatweir.agreement.lease.LeaseTimes;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.settings.ConfigurationReader;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.TransportFailure;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The duty {@code lease}: keeps this instance's configuration lease and the document that goes with
 * it. Thread-safe.
 */
final class LeaseKeeper implements ConfigurationPort {
    private static final EventLog LOG = EventLog.of(LeaseKeeper.class);
    private static final int RING_CAPACITY = 256;
    private static final long TICK_MILLIS = 50;
    private static final long ANSWER_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** After an ask that brought no lease the next one goes out sooner than the usual time. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    private final LeaderClient mLeader;
    private final PeerNetwork mNetwork;
    private final @Nullable ReplicaDuty mReplica;
    private final InstanceId mSelf;
    private final Clocks mClocks;
    private final ConfigurationLeaseHolder mHolder;
    private final EventLoop mDuty;
    private long mRetryAtNanos;
    private boolean mRetry;
    private boolean mSurrendered;
    private boolean mHeld;
    private volatile LeasedConfiguration mCurrent;

    LeaseKeeper(
            InstanceId self,
            long processNonce,
            LeaderClient leader,
            PeerNetwork network,
            @Nullable ReplicaDuty replica,
            Clocks clocks) {
        mSelf = self;
        mLeader = leader;
        mNetwork = network;
        mReplica = replica;
        mClocks = clocks;
        long nowNanos = clocks.nowNanos();
        mHolder = new ConfigurationLeaseHolder(self, processNonce, LeaseTimes.STANDARD, nowNanos);
        mCurrent = new LeasedConfiguration(0, ConfigurationDocument.EMPTY, nowNanos);
        mDuty =
                new EventLoop(
                        "lease",
                        RING_CAPACITY,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("lease_fault", fault));
    }

    void start() {
        mDuty.start();
    }

    void stop() {
        mDuty.stop();
    }

    /** Gives the lease up for good; the leader need not wait for it any more. */
    CompletionStage<ControlReply> surrender(long limitNanos) {
        mDuty.offer(
                () -> {
                    mSurrendered = true;
                    mHolder.surrender(mClocks.nowNanos());
                    publish(mCurrent.document());
                });
        return mLeader.ask(
                new ControlRequest.ReleaseLease(mSelf, mHolder.processNonce()), limitNanos);
    }

    @Override
    public LeasedConfiguration current() {
        return mCurrent;
    }

    private void tick() {
        long nowNanos = mClocks.nowNanos();
        logChange(nowNanos);
        boolean retryDue = mRetry && nowNanos - mRetryAtNanos >= 0;
        if (!mSurrendered && (retryDue || mHolder.requestDue(nowNanos))) {
            mRetry = false;
            ask(mHolder.newRequest(nowNanos));
        }
    }

    private void ask(LeaseRequest ask) {
        InstanceId target = mLeader.believedLeader();
        ReplicaDuty replica = mReplica;
        if (target.equals(mSelf) && replica != null) {
            replica.grant(ask).thenAccept(grant -> mDuty.offer(() -> answered(target, grant, "")));
            return;
        }
        CompletionStage<Either<TransportFailure, Bytes>> answer =
                mNetwork.request(
                        target,
                        FrameType.LEASE.number(),
                        LeaseCodec.encode(ask),
                        ANSWER_LIMIT_NANOS);
        answer.thenAccept(
                result -> {
                    LeaseAnswer decoded =
                            result.toOption()
                                    .flatMap(content -> LeaseAnswer.decode(content).toOption())
                                    .getOrElse(LeaseAnswer.refused(""));
                    mDuty.offer(() -> answered(target, decoded.grant(), decoded.leader()));
                });
    }

    private void answered(InstanceId target, Optional<LeaseGrant> grant, String leaderHint) {
        if (mSurrendered) {
            return;
        }
        if (grant.isEmpty()) {
            mLeader.notLeading(target, leaderHint);
            mRetry = true;
            mRetryAtNanos = mClocks.nowNanos() + RETRY_NANOS;
            return;
        }
        if (!mHolder.onGrant(grant.get())) {
            return;
        }
        if (mHolder.version() == mCurrent.version()) {
            publish(mCurrent.document());
        } else {
            // A document that can't be read never extends the lease of the one before it.
            ConfigurationReader.readStored(mHolder.document())
                    .peek(this::publishNew)
                    .peekLeft(failure -> LOG.failure("configuration_unreadable", failure));
        }
    }

    /** Acknowledges a new version without waiting for the next regular ask. */
    private void publishNew(ConfigurationDocument document) {
        publish(document);
        mRetry = true;
        mRetryAtNanos = mClocks.nowNanos();
    }

    private void publish(ConfigurationDocument document) {
        mCurrent = new LeasedConfiguration(mHolder.version(), document, mHolder.leaseEndNanos());
    }

    private void logChange(long nowNanos) {
        boolean held = mHolder.maySend(nowNanos);
        if (held != mHeld) {
            mHeld = held;
            LOG.info(held ? "lease_held" : "lease_lost", "version", mHolder.version());
        }
    }
}
