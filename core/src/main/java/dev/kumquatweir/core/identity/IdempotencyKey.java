package dev.kumquatweir.core.identity;

/**
 * A caller's key for a request that may not be repeated.
 *
 * @param value the identifier as text, never empty
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
