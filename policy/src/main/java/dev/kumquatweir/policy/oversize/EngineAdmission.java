package dev.kumquatweir.policy.oversize;

/**
 * Reservation that does not reserve any memory in advance. Each engine admits its part when the
 * part is sent; an engine without free memory refuses it, which aborts the run. Holds no state.
 */
public enum EngineAdmission implements OversizeReservation {
    /** The only instance. */
    INSTANCE;

    @Override
    public boolean tryAcquire(long nowNanos) {
        return true;
    }

    @Override
    public boolean isRevoked() {
        return false;
    }

    @Override
    public void recordExport(PromptPart part, String handle) {
        // The engine accounts for its exports.
    }

    @Override
    public void recordExportRelease(PromptPart part, String handle) {
        // The engine accounts for its exports.
    }

    @Override
    public void release() {
        // The run itself cancels the attempts and releases the exports on the engines.
    }
}
