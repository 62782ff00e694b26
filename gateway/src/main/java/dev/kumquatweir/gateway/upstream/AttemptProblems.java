package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import java.net.ConnectException;

/** Says what a problem of a connection proves about an attempt. Holds no state. */
final class AttemptProblems {
    private AttemptProblems() {}

    /**
     * Tells the listener. Only a refusal by the upstream and a connection that never stood prove
     * that the attempt did not run; every other problem may have come after the request was
     * written.
     */
    static void report(Throwable problem, AttemptListener listener) {
        if (problem instanceof RefusedException refused) {
            listener.refused(refused.reason());
        } else if (problem instanceof ConnectException) {
            listener.refused(AttemptEvent.RefusalReason.CONNECTION_REFUSED);
        } else if (problem instanceof UnexpectedAnswerException) {
            listener.broken(AttemptEvent.BreakCause.UPSTREAM_ERROR);
        } else {
            listener.broken(AttemptEvent.BreakCause.CONNECTION_LOST);
        }
    }
}
