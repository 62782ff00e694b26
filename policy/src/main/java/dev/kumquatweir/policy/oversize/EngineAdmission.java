package dev.kumquatweir.policy.oversize;

/**
 * Reserves nothing ahead: each engine is asked when its part is sent, and one without memory
 * refuses the part, which breaks the run. Holds no state.
 */
public enum EngineAdmission implements OversizeReservation {
    /** The only one. */
    INSTANCE;

    @Override
    public boolean acquire(long nowNanos) {
        return true;
    }

    @Override
    public boolean withdrawn() {
        return false;
    }

    @Override
    public void exported(PromptPart part, String handle) {
        // The engine accounts for its exports.
    }

    @Override
    public void exportReleased(PromptPart part, String handle) {
        // The engine accounts for its exports.
    }

    @Override
    public void release() {
        // The run itself cancels and releases what the engines hold.
    }
}
