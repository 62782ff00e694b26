package dev.kumquatweir.settings;

/**
 * One difference between two configuration documents. Immutable.
 *
 * @param kind what happened to the entry
 * @param path the entry, such as {@code profiles.dossier} or {@code profiles.dossier.priority}
 * @param before value before as JSON text, empty if it was added
 * @param after value after as JSON text, empty if it was removed
 */
public record DifferenceEntry(Kind kind, String path, String before, String after) {
    /** What happened to an entry. */
    public enum Kind {
        /** Only the later document has it. */
        ADDED,
        /** Only the earlier document has it. */
        REMOVED,
        /** Both have it, with different values. */
        CHANGED
    }

    /** Returns the kind in lower case, as it appears in answers. */
    public String kindName() {
        return TomlTable.wireName(kind);
    }

    /** Returns the difference as one line for people. */
    public String describe() {
        return switch (kind) {
            case ADDED -> "+ " + path + " = " + after;
            case REMOVED -> "- " + path + " = " + before;
            case CHANGED -> "~ " + path + ": " + before + " -> " + after;
        };
    }
}
