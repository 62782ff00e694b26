package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * An attempt that was refused or broke off. Immutable.
 *
 * @param request the request
 * @param attempt the attempt
 * @param upstream the upstream it was sent to
 * @param incarnation incarnation of that upstream
 * @param domain failure domain of that upstream
 * @param breaks attempts of this request that broke off, including this one
 * @param refusals attempts of this request that were refused, including this one
 * @param tokens tokens delivered to the caller
 * @param accepted whether the upstream had accepted it
 * @param neighbours other attempts of this instance on that upstream at the time of the failure
 */
public record FailedAttempt(
        WorkRequest request,
        AttemptId attempt,
        UpstreamId upstream,
        long incarnation,
        FailureDomain domain,
        int breaks,
        int refusals,
        long tokens,
        boolean accepted,
        List<AttemptId> neighbours) {

    /** Copies the list, so that the record is immutable. */
    public FailedAttempt {
        neighbours = List.copyOf(neighbours);
    }
}
