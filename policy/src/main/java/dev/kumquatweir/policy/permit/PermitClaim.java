package dev.kumquatweir.policy.permit;

import java.util.List;

/**
 * Claim on the resources that one unit of work needs, such as an attempt or a model load. Granted
 * as a whole or not at all. The parts of a claim never change under the same name. Immutable.
 *
 * @param name name of the claim, unique for its holder, usually an attempt id
 * @param parts needed resources and amounts, each resource once
 * @param held whether the holder has a valid permit for it
 * @param inUse whether work is running under it
 */
public record PermitClaim(String name, List<PermitPart> parts, boolean held, boolean inUse) {
    /** Copies the list and checks that no resource occurs twice. */
    public PermitClaim {
        parts = List.copyOf(parts);
        if (parts.stream().map(PermitPart::resource).distinct().count() != parts.size()) {
            throw new IllegalArgumentException("claim " + name + " names a resource twice");
        }
    }
}
