package dev.kumquatweir.core.identity;

/**
 * Identifies one instance of the system; stable across restarts.
 *
 * @param value the identifier as text, never empty
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public InstanceId {
        Identifiers.requireValid("instance", value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
