package dev.kumquatweir.core.identity;

/**
 * Names one instance of the system, stable across restarts.
 *
 * @param value the identifier as text, never empty
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
