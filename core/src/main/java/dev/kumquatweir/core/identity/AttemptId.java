package dev.kumquatweir.core.identity;

/**
 * Names one try of a request on one upstream. Never reused.
 *
 * @param value the identifier as text, never empty
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
    public AttemptId {
        Identifiers.requireValid("attempt", value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
