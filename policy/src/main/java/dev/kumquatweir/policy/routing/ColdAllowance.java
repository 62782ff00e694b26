package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.ColdLimit;

/**
 * Divides the limit of a cold upstream among the instances, so that their sum stays within the
 * limit. Calls do not block: an implementation that asks another process returns what it has been
 * granted so far.
 *
 * <p>Not thread-safe: owned by the dispatch duty.
 */
public interface ColdAllowance {
    /**
     * Returns the work that this instance may have on a cold upstream at this time, running work
     * included.
     *
     * @param upstream the cold upstream
     * @param incarnation its current incarnation
     * @param limit its limit over all instances
     * @param nowNanos present time
     */
    ColdLimit granted(UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos);

    /**
     * Returns how much of the work that runs on a cold upstream may stay there. May exceed {@link
     * #granted} while another process's answer is pending.
     *
     * @param upstream the cold upstream
     * @param incarnation its current incarnation
     * @param limit its limit over all instances
     * @param nowNanos present time
     */
    default ColdLimit retained(
            UpstreamId upstream, long incarnation, ColdLimit limit, long nowNanos) {
        return granted(upstream, incarnation, limit, nowNanos);
    }

    /**
     * Reports this instance's use of a cold upstream and its further demand. Called when work
     * starts or ends there and when the limit blocks a placement.
     *
     * @param upstream the cold upstream
     * @param incarnation its current incarnation
     * @param held requests running and prompt tokens not yet processed there
     * @param wanted requests and prompt tokens that the limit blocks
     * @param nowNanos present time
     */
    void reportUse(
            UpstreamId upstream, long incarnation, ColdLimit held, ColdLimit wanted, long nowNanos);
}
