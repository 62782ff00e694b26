package dev.kumquatweir.core.identity;

/**
 * Name of a model that engines serve.
 *
 * @param value the identifier as text, never empty
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public ModelName {
        Identifiers.requireValid("model", value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
