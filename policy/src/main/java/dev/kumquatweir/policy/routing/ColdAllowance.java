package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.ColdLimit;

/**
 * Tells how much of a cold upstream's limit this instance may use, so that the sum over all
 * instances stays within the limit. Calls return at once: an implementation that has to ask another
 * process answers with what it was granted so far.
 *
 * <p>Not thread-safe: owned by the dispatch duty.
 */
public interface ColdAllowance {
    /**
     * Returns what this instance may hold on a cold upstream at this time, running work included.
     *
     * @param upstream the cold upstream
     * @param incarnation its present start
     * @param limit what it bears, summed over all instances
     * @param nowNanos the present
     */
    ColdLimit granted(UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos);

    /**
     * Returns how much of the work that runs on a cold upstream may stay there. More than is
     * granted for new work if the answer of another process is still awaited.
     *
     * @param upstream the cold upstream
     * @param incarnation its present start
     * @param limit what it bears, summed over all instances
     * @param nowNanos the present
     */
    default ColdLimit retained(
            UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos) {
        return granted(upstream, incarnation, limit, nowNanos);
    }

    /**
     * Takes note of what the instance holds on a cold upstream and what it would like to place
     * there. Called when work starts or ends there and when work is held back by the limit.
     *
     * @param upstream the cold upstream
     * @param incarnation its present start
     * @param held requests running there and prompt tokens not yet processed there
     * @param wanted requests and prompt tokens held back
     * @param nowNanos the present
     */
    void reportUse(
            UpstreamId upstream, long incarnation, ColdLimit held, ColdLimit wanted, long nowNanos);
}
