package dev.kumquatweir.policy.permit;

/**
 * An amount of one resource. Immutable.
 *
 * @param resource the resource
 * @param incarnation incarnation of its upstream, 0 for a resource without one
 * @param amount how much, at least 1
 */
public record PermitPart(PermitResource resource, long incarnation, long amount) {
    /** Checks the amount. */
    public PermitPart {
        if (amount < 1) {
            throw new IllegalArgumentException("permit amount " + amount + " is below 1");
        }
    }
}
