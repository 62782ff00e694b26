package dev.kumquatweir.core.identity;

/**
 * Identifies one upstream; the upstream chooses it and announces itself under it.
 *
 * @param value the identifier as text, never empty
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
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
