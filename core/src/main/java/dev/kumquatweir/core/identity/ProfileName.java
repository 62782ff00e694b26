package dev.kumquatweir.core.identity;

/**
 * Names a profile of the configuration.
 *
 * @param value the identifier as text, never empty
 */
public record ProfileName(String value) implements Comparable<ProfileName> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
    public ProfileName {
        Identifiers.requireValid("profile", value);
    }

    @Override
    public int compareTo(ProfileName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
