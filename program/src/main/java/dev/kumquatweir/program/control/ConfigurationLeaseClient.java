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
 * Renews this instance's configuration lease with the leader and provides the leased document. Runs
 * the event loop {@code lease}, which owns the state. Thread-safe.
 */
final class ConfigurationLeaseClient implements ConfigurationPort {
    private static final EventLog LOG = EventLog.of(ConfigurationLeaseClient.class);
    private static final int QUEUE_CAPACITY = 256;
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Shorter than the renewal interval, so that a failed renewal is retried soon. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

    private final LeaderClient mLeader;
    private final PeerNetwork mNetwork;
    private final @Nullable ReplicaEventLoop mReplica;
    private final InstanceId mSelf;
    private final Clocks mClocks;
    private final ConfigurationLeaseHolder mHolder;
    private final EventLoop mEventLoop;
    private long mRetryAtNanos;
    private boolean mRetryPending;
    private boolean mReleased;
    private boolean mLeaseHeld;
    private volatile LeasedConfiguration mCurrent;

    ConfigurationLeaseClient(
            InstanceId self,
            long processNonce,
            LeaderClient leader,
            PeerNetwork network,
            @Nullable ReplicaEventLoop replica,
            Clocks clocks) {
        mSelf = self;
        mLeader = leader;
        mNetwork = network;
        mReplica = replica;
        mClocks = clocks;
        long nowNanos = clocks.nowNanos();
        mHolder = new ConfigurationLeaseHolder(self, processNonce, LeaseTimes.STANDARD, nowNanos);
        mCurrent = new LeasedConfiguration(0, ConfigurationDocument.EMPTY, nowNanos);
        mEventLoop =
                new EventLoop(
                        "lease",
                        QUEUE_CAPACITY,
                        TICK_INTERVAL_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("lease_fault", fault));
    }

    void start() {
        mEventLoop.start();
    }

    void stop() {
        mEventLoop.stop();
    }

    /**
     * Releases the lease permanently, so that the leader does not have to wait for its expiry
     * before a new version is in force.
     */
    CompletionStage<ControlReply> release(long timeoutNanos) {
        mEventLoop.offer(
                () -> {
                    mReleased = true;
                    mHolder.surrender(mClocks.nowNanos());
                    publish(mCurrent.document());
                });
        return mLeader.submit(
                new ControlRequest.ReleaseLease(mSelf, mHolder.processNonce()), timeoutNanos);
    }

    @Override
    public LeasedConfiguration current() {
        return mCurrent;
    }

    private void tick() {
        long nowNanos = mClocks.nowNanos();
        logLeaseChange(nowNanos);
        boolean retryDue = mRetryPending && nowNanos - mRetryAtNanos >= 0;
        if (!mReleased && (retryDue || mHolder.requestDue(nowNanos))) {
            mRetryPending = false;
            sendRequest(mHolder.newRequest(nowNanos));
        }
    }

    private void sendRequest(LeaseRequest request) {
        InstanceId target = mLeader.likelyLeader();
        ReplicaEventLoop replica = mReplica;
        if (target.equals(mSelf) && replica != null) {
            replica.grant(request)
                    .thenAccept(grant -> mEventLoop.offer(() -> handleResponse(target, grant, "")));
            return;
        }
        CompletionStage<Either<TransportFailure, Bytes>> response =
                mNetwork.request(
                        target,
                        FrameType.LEASE.number(),
                        LeaseCodec.encode(request),
                        RESPONSE_TIMEOUT_NANOS);
        response.thenAccept(
                result -> {
                    LeaseResponse decoded =
                            result.toOption()
                                    .flatMap(content -> LeaseResponse.decode(content).toOption())
                                    .getOrElse(LeaseResponse.refused(""));
                    mEventLoop.offer(
                            () -> handleResponse(target, decoded.grant(), decoded.leader()));
                });
    }

    private void handleResponse(InstanceId target, Optional<LeaseGrant> grant, String leaderHint) {
        if (mReleased) {
            return;
        }
        if (grant.isEmpty()) {
            mLeader.handleNotLeader(target, leaderHint);
            mRetryPending = true;
            mRetryAtNanos = mClocks.nowNanos() + RETRY_DELAY_NANOS;
            return;
        }
        if (!mHolder.onGrant(grant.get())) {
            return;
        }
        if (mHolder.version() == mCurrent.version()) {
            publish(mCurrent.document());
        } else {
            // An unreadable document must not extend the lease of the previous version.
            ConfigurationReader.readStored(mHolder.document())
                    .peek(this::publishNewVersion)
                    .peekLeft(failure -> LOG.failure("configuration_unreadable", failure));
        }
    }

    /** Publishes a new version and requests a renewal at once, which acknowledges it. */
    private void publishNewVersion(ConfigurationDocument document) {
        publish(document);
        mRetryPending = true;
        mRetryAtNanos = mClocks.nowNanos();
    }

    private void publish(ConfigurationDocument document) {
        mCurrent = new LeasedConfiguration(mHolder.version(), document, mHolder.leaseEndNanos());
    }

    private void logLeaseChange(long nowNanos) {
        boolean held = mHolder.maySend(nowNanos);
        if (held != mLeaseHeld) {
            mLeaseHeld = held;
            LOG.info(held ? "lease_held" : "lease_lost", "version", mHolder.version());
        }
    }
}
