package dev.kumquatweir.policy.oversize;

/**
 * Reservation of memory on all engines of one plan, either on all of them or on none. Not
 * thread-safe: owned by the event loop that owns the run.
 */
public interface OversizeReservation {
    /**
     * Tries to reserve the memory. To be called again until it succeeds.
     *
     * @return whether all memory is reserved now
     */
    boolean tryAcquire(long nowNanos);

    /**
     * Returns whether reserved memory has been revoked, in which case the run has to be aborted.
     */
    boolean isRevoked();

    /** Records an export, which keeps the memory of its part in use. */
    void recordExport(PromptPart part, String handle);

    /** Records that an export is about to be released. */
    void recordExportRelease(PromptPart part, String handle);

    /** Releases all reserved memory. */
    void release();
}
