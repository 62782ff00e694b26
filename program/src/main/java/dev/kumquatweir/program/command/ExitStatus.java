package dev.kumquatweir.program.command;

/** Exit statuses of all subcommands. The numbers are documented for scripts and never change. */
public enum ExitStatus {
    /** Done. */
    SUCCESS(0),
    /** Could not be done, or an invariant broke. */
    FAILED(1),
    /** The command line, a settings file or a profile is at fault. */
    BAD_INPUT(2),
    /** Somebody else changed the configuration first. */
    CONFLICT(3),
    /** No instance or no quorum could be reached; nothing is known to have changed. */
    UNREACHABLE(4),
    /** The change is accepted but not yet in force everywhere. */
    NOT_YET_IN_FORCE(5);

    private final int mCode;

    ExitStatus(int code) {
        mCode = code;
    }

    /** Returns the number that the process exits with. */
    public int code() {
        return mCode;
    }
}
