package dev.kumquatweir.agreement.port;

import org.jspecify.annotations.Nullable;

/** What the payload of a log entry means. The ordinal is never stored; {@link #code} is. */
public enum EntryKind {
    /** Empty payload; a new leader appends one to commit the entries of earlier terms. */
    NO_OPERATION(0),
    /** A command of the replicated state machine. */
    COMMAND(1),
    /** A new membership of the group, in force as soon as it is appended. */
    MEMBERSHIP(2);

    private final int mCode;

    EntryKind(int code) {
        mCode = code;
    }

    /** Returns the stable number of this kind in files and messages. */
    public int code() {
        return mCode;
    }

    /**
     * Returns the kind with a stable number.
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
