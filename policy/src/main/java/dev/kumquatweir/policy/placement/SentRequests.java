package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.ServiceName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What an entry instance has sent, to report it to the next leader: all first sends, and the
 * retries that leaders have placed. Retries in standalone mode have a share of their own. Not
 * thread-safe.
 */
public final class SentRequests {
    private final PlacementLimits mLimits;
    private final Map<ServiceName, SlidingCounts> mCounts = new HashMap<>();

    /** Creates an empty record. */
    public SentRequests(PlacementLimits limits) {
        mLimits = limits;
    }

    /** Records a request that a scheduler has placed. */
    public void recordPlaced(PlacementRequest request, boolean byLeader, long nowNanos) {
        if (byLeader || !request.retry()) {
            mCounts.computeIfAbsent(
                            request.service(),
                            key -> new SlidingCounts(mLimits.retryWindowMillis()))
                    .add(request.retry(), nowNanos);
        }
    }

    /** Returns the counts of all services, each with the oldest first. */
    public Map<ServiceName, List<SentCount>> counts(long nowNanos) {
        Map<ServiceName, List<SentCount>> counts = new HashMap<>();
        mCounts.forEach((service, sent) -> counts.put(service, sent.spans(nowNanos)));
        return counts;
    }
}
