package dev.kumquatweir.core.identity;

/**
 * Name of a team: the customer that an API key belongs to.
 *
 * @param value the identifier as text, never empty
 */
public record TeamName(String value) implements Comparable<TeamName> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public TeamName {
        Identifiers.requireValid("team", value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
