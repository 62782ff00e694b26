package dev.kumquatweir.program.command;

/** Exit statuses of all subcommands. Scripts rely on the numbers, so they never change. */
public enum ExitStatus {
    /** The command succeeded. */
    SUCCESS(0),
    /** The command failed, or an invariant was violated. */
    FAILED(1),
    /** The command line, a settings file or a profile is invalid. */
    BAD_INPUT(2),
    /** The configuration was changed after the version that the command is based on. */
    CONFLICT(3),
    /** No instance or no quorum could be reached; whether a change was made is unknown. */
    UNREACHABLE(4),
    /** The change is accepted but not yet in force on all instances. */
    NOT_YET_IN_FORCE(5);

    private final int mCode;

    ExitStatus(int code) {
        mCode = code;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return mCode;
    }
}
