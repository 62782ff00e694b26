package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/** A command of the dispatcher to its driver. The driver executes the actions in order. */
public sealed interface DispatchAction {
    /**
     * Send the request to an upstream. Immediately before sending, the driver checks the
     * configuration lease, the failure domain and the deadline once more, and reports {@link
     * AttemptEvent.Refused} if one of them forbids it.
     *
     * @param request the request
     * @param attempt the new, now current attempt
     * @param upstream the upstream to send it to
     * @param incarnation incarnation of the upstream that was selected
     * @param resumeOffset tokens already delivered to the caller
     * @param priority priority on the engine, 0 to 9
     * @param partners further engines reserved for a prompt that does not fit on one engine, in
     *     order of use
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
     * Cancel an attempt on its upstream; answers that still arrive are ignored.
     *
     * @param request the request
     * @param attempt the attempt
     * @param upstream the upstream that runs it
     */
    record Cancel(RequestId request, AttemptId attempt, UpstreamId upstream)
            implements DispatchAction {}

    /**
     * End the request and report the failure to its caller.
     *
     * @param request the request
     * @param failure the failure to report
     */
    record Fail(RequestId request, RequestFailure failure) implements DispatchAction {}
}
