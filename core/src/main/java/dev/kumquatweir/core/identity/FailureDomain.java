package dev.kumquatweir.core.identity;

/**
 * Names a failure domain: machines that are lost or taken out together.
 *
 * @param value the identifier as text, never empty
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
