package dev.kumquatweir.core.failure;

/** Carries a {@link Failure} through an interface that only passes exceptions. */
public final class FailureException extends RuntimeException {
    private final transient Failure mFailure;

    /**
     * Wraps a failure.
     *
     * @param failure what went wrong
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
