package dev.kumquatweir.core.identity;

/**
 * Identifies one request of a caller; unique across all instances.
 *
 * @param value the identifier as text, never empty
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public RequestId {
        Identifiers.requireValid("request", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
