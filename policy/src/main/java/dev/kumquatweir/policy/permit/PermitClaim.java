package dev.kumquatweir.policy.permit;

import java.util.List;

/**
 * What one piece of work needs; granted as a whole or not at all. A name always stands for the same
 * parts. Immutable.
 *
 * @param name name of the claim, unique for its holder, usually an attempt id
 * @param parts what it needs, each resource once
 * @param held whether the holder has a valid permit for it
 * @param inUse whether work runs under it
 */
public record PermitClaim(String name, List<PermitPart> parts, boolean held, boolean inUse) {
    /** Copies the list, so that the record is immutable. */
    public PermitClaim {
        parts = List.copyOf(parts);
        if (parts.stream().map(PermitPart::resource).distinct().count() != parts.size()) {
            throw new IllegalArgumentException("claim " + name + " names a resource twice");
        }
    }
}
