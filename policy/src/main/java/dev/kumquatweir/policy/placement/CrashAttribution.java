package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Attributes crashes of upstreams to parts of prompts. Owned by {@link PlacementScheduler}; not
 * thread-safe.
 */
final class CrashAttribution {
    private static final int MAXIMUM_EVENTS = 200;

    private final CrashSuspects mSuspects = new CrashSuspects();
    private final List<CrashEvent> mEvents = new ArrayList<>();

    /** Records that an upstream broke off a request. */
    void brokenOff(PlacementUpstream upstream, PlacedPart placed, long nowNanos) {
        Map<String, Integer> strikes = mSuspects.brokenOff(upstream, placed, nowNanos);
        if (!strikes.isEmpty()) {
            report(
                    new CrashEvent.Suspects(
                            placed.request().requestId(), upstream.notice().id().value(), strikes));
        }
    }

    /** Records a first event or an answer of an upstream. */
    void progressed(PlacementUpstream upstream, long nowNanos) {
        List<String> takenBack = mSuspects.progressed(upstream, nowNanos);
        if (!takenBack.isEmpty()) {
            report(new CrashEvent.Refuted(upstream.notice().id().value(), takenBack));
        }
    }

    /** Records a complete answer. */
    void answered(PlacementRequest request, long nowNanos) {
        mSuspects.answered(request, nowNanos);
    }

    /** Returns the conclusions since the last call; the oldest are lost if nobody calls. */
    List<CrashEvent> drainEvents() {
        List<CrashEvent> events = List.copyOf(mEvents);
        mEvents.clear();
        return events;
    }

    private void report(CrashEvent event) {
        if (mEvents.size() == MAXIMUM_EVENTS) {
            mEvents.remove(0);
        }
        mEvents.add(event);
    }
}
