package dev.kumquatweir.core.identity;

/**
 * Names one operator command, so that a resent command is recognised.
 *
 * @param value the identifier as text, never empty
 */
public record CommandId(String value) implements Comparable<CommandId> {
    /** Checks the text; throws {@link InvalidIdentifierException} if it does not fit. */
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
