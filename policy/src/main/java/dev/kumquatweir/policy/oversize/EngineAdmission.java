package dev.kumquatweir.policy.oversize;

/**
 * Reservation that does not reserve any memory in advance. Each engine admits its part when the
 * part is sent; an engine without free memory refuses it, which aborts the run. Holds no state.
 */
public enum EngineAdmission implements OversizeReservation {
    /** The only instance. */
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
        // The run itself cancels the attempts and releases the exports on the engines.
    }
}
