package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.placement.LimitNotice;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import java.util.function.Consumer;

/**
 * Requests placements from the scheduler and reports the progress of placed requests to it. Called
 * on the I/O thread.
 */
public interface PlacementPort {
    /** Returns a key that is unique among the placements of this process. */
    PlacementKey newKey();

    /**
     * Requests an upstream.
     *
     * @param request the request
     * @param onDecision called once on the I/O thread, unless the request is withdrawn before
     */
    void submit(PlacementRequest request, Consumer<PlacementAction> onDecision);

    /** Withdraws a request that was not decided yet. */
    void withdraw(PlacementKey key);

    /** Reports the first event of a response. */
    void recordFirstEvent(PlacementKey key);

    /** Reports a gap between two events that exceeds the target of the route. */
    void recordLateEvent(PlacementKey key, long gapMillis);

    /** Reports that an upstream is silent for longer than its limit and keeps the request. */
    void recordSilence(PlacementKey key);

    /**
     * Reports what a response says about the requests that its upstream takes.
     *
     * @param sentNanos when the request of the response was sent
     */
    void recordLimit(UpstreamId upstream, LimitNotice notice, long sentNanos);

    /**
     * Reports the end of a placement; see {@code PlacementScheduler#ended}.
     *
     * @param events events that the upstream sent
     */
    void ended(PlacementKey key, PlacementOutcome outcome, String culprit, long events);
}
