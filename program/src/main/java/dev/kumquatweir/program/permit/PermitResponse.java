package dev.kumquatweir.program.permit;

import dev.kumquatweir.policy.permit.PermitGrant;
import java.util.Optional;

/**
 * Response to a permit renewal. Immutable.
 *
 * @param grant decision of the ledger, empty if the instance may not decide at present
 * @param leader leader that the responding instance knows, empty if it knows none
 */
public record PermitResponse(Optional<PermitGrant> grant, String leader) {}
