package dev.kumquatweir.core.identity;

/**
 * Names a service: a pool of engines or of plain upstreams.
 *
 * @param value the identifier as text, never empty
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
