package dev.kumquatweir.core.identity;

/**
 * Names a model that engines serve.
 *
 * @param value the identifier as text, never empty
 */
public record ModelName(String value) implements Comparable<ModelName> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
