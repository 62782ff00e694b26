package dev.kumquatweir.core.identity;

/**
 * Names one request of a caller, unique over all instances.
 *
 * @param value the identifier as text, never empty
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
