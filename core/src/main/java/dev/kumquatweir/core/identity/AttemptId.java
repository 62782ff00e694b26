package dev.kumquatweir.core.identity;

/**
 * Identifies one attempt to execute a request on one upstream. Never reused.
 *
 * @param value the identifier as text, never empty
 */
public record AttemptId(String value) implements Comparable<AttemptId> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
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
