package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Looks for another upstream while that of a request is silent. A sound upstream may be silent for
 * a second and go on, so it keeps the request until another one is found. Confined to the I/O
 * thread.
 */
final class Takeover {
    /** Time after a rejection until it is worth asking again. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private final ForwardingPorts mPorts;
    private final PlacementPort mPlacement;
    private final ExchangeLog mLog;
    private final BooleanSupplier mSilent;
    private final Consumer<PlacementAction.Grant> mOnGrant;
    private @Nullable PlacementKey mRequested;
    private @Nullable PlacementKey mRecorded;
    private @Nullable Long mRejectedNanos;

    /**
     * @param silent returns whether the upstream still has the request and is silent
     * @param onGrant goes on with the granted upstream
     */
    Takeover(
            ForwardingPorts ports,
            ExchangeLog log,
            BooleanSupplier silent,
            Consumer<PlacementAction.Grant> onGrant) {
        mPorts = ports;
        mPlacement = ports.placement();
        mLog = log;
        mSilent = silent;
        mOnGrant = onGrant;
    }

    /**
     * Requests an upstream unless that was done a short time ago.
     *
     * @param silent placement on the silent upstream
     */
    void request(
            @Nullable PlacementKey silent,
            Function<PlacementKey, PlacementRequest> requests,
            long nowNanos) {
        if (mRequested != null) {
            // The scheduler has no free place, and must not count on the silent upstream either.
            recordSilence(silent);
            return;
        }
        Long rejectedNanos = mRejectedNanos;
        if (rejectedNanos != null && nowNanos - rejectedNanos < RETRY_NANOS) {
            return;
        }
        PlacementKey key = mPlacement.newKey();
        mRequested = key;
        mPlacement.submit(requests.apply(key), action -> handle(key, silent, action, nowNanos));
    }

    /** Reports the silence of an upstream that keeps its request, once for each placement. */
    void recordSilence(@Nullable PlacementKey placement) {
        if (placement != null && !placement.equals(mRecorded)) {
            mRecorded = placement;
            mPlacement.recordSilence(placement);
        }
    }

    /** Stops looking: the upstream goes on or has lost the request. */
    void cancel() {
        PlacementKey key = mRequested;
        mRequested = null;
        if (key != null) {
            mPlacement.withdraw(key);
        }
    }

    private void handle(
            PlacementKey key,
            @Nullable PlacementKey silent,
            PlacementAction action,
            long requestedNanos) {
        if (!key.equals(mRequested)) {
            return;
        }
        mRequested = null;
        switch (action) {
            case PlacementAction.Grant grant -> accept(grant);
            case PlacementAction.Reject reject -> {
                mRejectedNanos = requestedNanos;
                mLog.takeoverRejected(reject);
                recordSilence(silent);
            }
        }
    }

    private void accept(PlacementAction.Grant grant) {
        if (mSilent.getAsBoolean() && mPorts.state().acceptsRequests(grant.grant().upstream())) {
            mOnGrant.accept(grant);
        } else {
            mPlacement.ended(grant.key(), PlacementOutcome.CANCELLED, "", 0);
        }
    }
}
