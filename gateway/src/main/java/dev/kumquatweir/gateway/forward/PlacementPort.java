package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import java.util.function.Consumer;

/** Asks for upstreams and reports what became of requests. Used on the I/O thread. */
public interface PlacementPort {
    /** Returns a key that no other placement of this process has. */
    PlacementKey newKey();

    /**
     * Asks for an upstream.
     *
     * @param onDecision called once on the I/O thread, unless the request is withdrawn first
     */
    void submit(PlacementRequest request, Consumer<PlacementAction> onDecision);

    /** Takes a request back that has no answer yet. */
    void withdraw(PlacementKey key);

    /** Reports the first event of an answer. */
    void recordFirstEvent(PlacementKey key);

    /** Reports a pause between events that is longer than the target. */
    void recordLateEvent(PlacementKey key, long gapMillis);

    /** Reports the end of a placement; see {@code PlacementScheduler#ended}. */
    void ended(PlacementKey key, PlacementOutcome outcome, String culprit);
}
