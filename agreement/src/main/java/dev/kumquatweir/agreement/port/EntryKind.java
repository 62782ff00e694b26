package dev.kumquatweir.agreement.port;

import org.jspecify.annotations.Nullable;

/** Kind of a log entry. Files and messages contain {@link #code}, never the ordinal. */
public enum EntryKind {
    /** Empty payload; a new leader appends one to commit the entries of earlier terms. */
    NO_OPERATION(0),
    /** A command of the replicated state machine. */
    COMMAND(1),
    /** A new membership of the group, effective as soon as it is appended. */
    MEMBERSHIP(2);

    private final int mCode;

    EntryKind(int code) {
        mCode = code;
    }

    /** Returns the number of this kind in files and messages; it never changes. */
    public int code() {
        return mCode;
    }

    /**
     * Returns the kind with this number.
     *
     * @param code number from a file or message
     * @return the kind, or null for an unknown number
     */
    public static @Nullable EntryKind ofCode(int code) {
        return switch (code) {
            case 0 -> NO_OPERATION;
            case 1 -> COMMAND;
            case 2 -> MEMBERSHIP;
            default -> null;
        };
    }
}
