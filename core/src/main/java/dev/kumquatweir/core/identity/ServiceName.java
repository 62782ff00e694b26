package dev.kumquatweir.core.identity;

/**
 * Name of a service: a pool of engines or of plain HTTP upstreams.
 *
 * @param value the identifier as text, never empty
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public ServiceName {
        Identifiers.requireValid("service", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
