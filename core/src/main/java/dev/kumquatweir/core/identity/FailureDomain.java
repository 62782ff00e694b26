package dev.kumquatweir.core.identity;

/**
 * Identifies a failure domain: machines that fail, or are taken out of service, together.
 *
 * @param value the identifier as text, never empty
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public FailureDomain {
        Identifiers.requireValid("failure domain", value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
