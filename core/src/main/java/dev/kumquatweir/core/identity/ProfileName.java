package dev.kumquatweir.core.identity;

/**
 * Name of a request profile in the configuration.
 *
 * @param value the identifier as text, never empty
 */
public record ProfileName(String value) implements Comparable<ProfileName> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
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
