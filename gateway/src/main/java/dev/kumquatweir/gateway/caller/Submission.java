package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.ClaimRequest;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.List;
import java.util.Optional;

/**
 * A validated request, ready to be claimed and admitted. Immutable.
 *
 * @param request the request as input of the scheduling policy
 * @param work the generation or service call to execute
 * @param claim the claim that it requires, empty if it is repeatable
 */
record Submission(WorkRequest request, Work work, Optional<ClaimRequest> claim) {
    /** Returns this submission with the parts of its prompt that others may share. */
    Submission withSharedParts(List<String> parts) {
        return new Submission(request.withSharedParts(parts), work, claim);
    }
}
