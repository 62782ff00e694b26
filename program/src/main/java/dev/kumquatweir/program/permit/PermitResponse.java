package dev.kumquatweir.program.permit;

import dev.kumquatweir.policy.permit.PermitGrant;
import java.util.Optional;

/**
 * Answer to a renewal of permits. Immutable.
 *
 * @param grant the decision, empty if the instance may not decide now
 * @param leader who leads in its view, empty if it does not know
 */
public record PermitResponse(Optional<PermitGrant> grant, String leader) {}
