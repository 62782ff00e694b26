package dev.kumquatweir.core.identity;

/**
 * Names a team: the customer that an API key belongs to.
 *
 * @param value the identifier as text, never empty
 */
public record TeamName(String value) implements Comparable<TeamName> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
