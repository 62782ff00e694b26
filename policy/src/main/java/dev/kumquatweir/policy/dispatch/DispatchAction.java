package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/** What the policy wants done now. The driver carries the actions out in order. */
public sealed interface DispatchAction {
    /**
     * Send the request to an upstream. At the moment of sending the driver checks the configuration
     * lease, the failure domain and the deadline once more, and reports {@link
     * AttemptEvent.Refused} if one of them forbids it.
     *
     * @param request the request
     * @param attempt the new, now current attempt
     * @param upstream where to send it
     * @param incarnation incarnation of the upstream that was meant
     * @param resumeOffset tokens that the caller already has
     * @param priority priority on the engine, 0 to 9
     * @param partners further engines reserved for a prompt beyond one engine, in order of use
     */
    record Start(
            RequestId request,
            AttemptId attempt,
            UpstreamId upstream,
            long incarnation,
            long resumeOffset,
            int priority,
            List<UpstreamId> partners)
            implements DispatchAction {}

    /**
     * Cancel an attempt on its upstream; its late answers are no longer taken.
     *
     * @param request the request
     * @param attempt the attempt
     * @param upstream where it runs
     */
    record Cancel(RequestId request, AttemptId attempt, UpstreamId upstream)
            implements DispatchAction {}

    /**
     * End the request towards its caller with a failure.
     *
     * @param request the request
     * @param failure why
     */
    record Fail(RequestId request, RequestFailure failure) implements DispatchAction {}
}
