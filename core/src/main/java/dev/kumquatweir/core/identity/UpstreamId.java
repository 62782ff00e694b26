package dev.kumquatweir.core.identity;

/**
 * Names one upstream, as it announces itself.
 *
 * @param value the identifier as text, never empty
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
    public UpstreamId {
        Identifiers.requireValid("upstream", value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
