package dev.kumquatweir.policy.permit;

/**
 * Amount of one resource that a claim needs. Immutable.
 *
 * @param resource the resource
 * @param incarnation incarnation of the resource's upstream, 0 if it has no upstream
 * @param amount amount, at least 1, in the unit of the resource
 */
public record PermitPart(PermitResource resource, long incarnation, long amount) {
    /** Checks that the amount is at least 1. */
    public PermitPart {
        if (amount < 1) {
            throw new IllegalArgumentException("permit amount " + amount + " is below 1");
        }
    }
}
