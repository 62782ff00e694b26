package dev.kumquatweir.policy.oversize;

/**
 * Reserves nothing ahead: each engine is asked when its part is sent, and one without memory
 * refuses the part, which breaks the run. Holds no state.
 */
public enum EngineAdmission implements OversizeReservation {
    /** The only one. */
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
        // The run itself cancels and releases what the engines hold.
    }
}
