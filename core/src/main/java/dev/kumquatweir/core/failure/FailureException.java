package dev.kumquatweir.core.failure;

/** Carries a {@link Failure} through an interface that reports errors only as exceptions. */
public final class FailureException extends RuntimeException {
    private final transient Failure mFailure;

    /**
     * Wraps a failure; code and message become the message of the exception.
     *
     * @param failure the failure
     */
    public FailureException(Failure failure) {
        super(failure.code() + ": " + failure.message());
        mFailure = failure;
    }

    /** Returns the wrapped failure. */
    public Failure failure() {
        return mFailure;
    }
}
