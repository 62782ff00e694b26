package dev.kumquatweir.core.identity;

/**
 * Key that a caller attaches to a non-repeatable request, so that a resent request is recognised.
 *
 * @param value the identifier as text, never empty
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public IdempotencyKey {
        Identifiers.requireValid("idempotency key", value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
