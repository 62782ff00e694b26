package dev.kumquatweir.policy.oversize;

/**
 * Memory on all engines of one plan, held as a whole or not at all. Not thread-safe: owned by the
 * duty that owns the run.
 */
public interface OversizeReservation {
    /**
     * Asks for the memory, again with each call until it is held.
     *
     * @return whether all of it is held now
     */
    boolean tryAcquire(long nowNanos);

    /**
     * Returns whether memory that was held has been withdrawn, so that the run has to break off.
     */
    boolean isRevoked();

    /** Takes note of an export, which keeps the memory of its part. */
    void recordExport(PromptPart part, String handle);

    /** Takes note that an export is about to be released. */
    void recordExportRelease(PromptPart part, String handle);

    /** Gives all memory back. */
    void release();
}
