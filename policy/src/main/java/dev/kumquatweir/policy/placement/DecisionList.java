package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Decisions that the scheduler has made and not yet returned. Not thread-safe. */
final class DecisionList {
    private final List<PlacementAction> mActions = new ArrayList<>();

    /**
     * Adds the grant of upstreams.
     *
     * @param upstreams the upstream that answers, then its helpers
     * @param reserved KV cache tokens that the upstream at the same index reserves
     * @param firstEventNanos expected time of the first event
     */
    void grant(
            PlacementKey key,
            List<PlacementUpstream> upstreams,
            List<Long> reserved,
            long firstEventNanos,
            long nowNanos) {
        List<PlacementHelper> helpers = new ArrayList<>();
        for (int index = 1; index < upstreams.size(); index++) {
            UpstreamStatus notice = upstreams.get(index).notice();
            helpers.add(new PlacementHelper(notice.id(), notice.address(), reserved.get(index)));
        }
        UpstreamStatus notice = upstreams.get(0).notice();
        long expectedMillis = TimeUnit.NANOSECONDS.toMillis(firstEventNanos - nowNanos);
        mActions.add(
                new PlacementAction.Grant(
                        key,
                        new PlacementGrant(
                                notice.id(), notice.address(), expectedMillis, helpers)));
    }

    /** Adds a rejection. */
    void reject(PlacementKey key, PlacementRefusal reason, long retryAfterMillis) {
        mActions.add(new PlacementAction.Reject(key, reason, retryAfterMillis));
    }

    /** Returns and removes all decisions. */
    List<PlacementAction> drain() {
        List<PlacementAction> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }
}
