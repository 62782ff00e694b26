package dev.kumquatweir.core.identity;

/**
 * Identifies one operator command, so that a resent command is recognised as a duplicate.
 *
 * @param value the identifier as text, never empty
 */
public record CommandId(String value) implements Comparable<CommandId> {
    /** Throws {@link InvalidIdentifierException} if the text is not a valid identifier. */
    public CommandId {
        Identifiers.requireValid("command", value);
    }

    @Override
    public int compareTo(CommandId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
