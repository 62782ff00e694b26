package dev.kumquatweir.gateway.caller;

import dev.kumquatweir.core.control.ClaimRequest;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.Optional;

/**
 * A checked request, ready to be claimed and admitted. Immutable.
 *
 * @param request the request as the policy sees it
 * @param work what to do
 * @param claim the claim that it needs; empty if it may be repeated
 */
record Submission(WorkRequest request, Work work, Optional<ClaimRequest> claim) {}
