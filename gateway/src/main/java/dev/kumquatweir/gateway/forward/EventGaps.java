package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementKey;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Records the gaps between the events of one stream. Confined to the I/O thread. */
final class EventGaps {
    private final PlacementPort mPlacement;
    private final ForwardingMetrics mMetrics;
    private final ExchangeLog mLog;
    private final long mTargetMillis;
    private boolean mLateEventReported;
    private long mEventCount;

    EventGaps(PlacementPort placement, ForwardingMetrics metrics, ExchangeLog log, Route route) {
        mPlacement = placement;
        mMetrics = metrics;
        mLog = log;
        mTargetMillis = route.targetGapMillis();
    }

    /** Records the first event that an upstream sends. */
    void recordFirst(
            @Nullable PlacementKey key,
            @Nullable PlacementGrant grant,
            long sentNanos,
            long ageMillis,
            long nowNanos) {
        mEventCount = 0;
        if (key != null && grant != null) {
            mPlacement.recordFirstEvent(key);
            mLog.firstEvent(grant, TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos), ageMillis);
        }
    }

    /** Records a gap; the first one over the target is reported to the scheduler. */
    void record(@Nullable PlacementKey key, @Nullable PlacementGrant grant, long gapNanos) {
        long gapMillis = TimeUnit.NANOSECONDS.toMillis(gapNanos);
        mMetrics.recordEventGap(gapMillis);
        boolean late = mTargetMillis > 0 && gapMillis > mTargetMillis;
        if (late && !mLateEventReported && key != null) {
            mLateEventReported = true;
            mPlacement.recordLateEvent(key, gapMillis);
            mLog.lateEvent(Optional.ofNullable(grant), gapMillis);
        }
    }

    /** Counts an event of the upstream that sends at present. */
    void countEvent() {
        mEventCount++;
    }

    /** Returns how many events the upstream has sent that sent last. */
    long eventCount() {
        return mEventCount;
    }
}
