package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.policy.memory.MemoryLedger;
import dev.kumquatweir.policy.memory.ReserveDecision;
import dev.kumquatweir.policy.permit.PermitHolder;

/**
 * Reservation by one permit for the memory of all engines and by entries in this instance's memory
 * ledger. Not thread-safe: owned by the duty that owns the run.
 */
public final class PermitReservation implements OversizeReservation {
    private final OversizePlan mPlan;
    private final PermitHolder mPermits;
    private final MemoryLedger mLedger;
    private final String mPermit;

    /** Creates a reservation that has not claimed any memory yet. */
    public PermitReservation(OversizePlan plan, PermitHolder permits, MemoryLedger ledger) {
        mPlan = plan;
        mPermits = permits;
        mLedger = ledger;
        mPermit = plan.last().attempt().value();
    }

    @Override
    public boolean acquire(long nowNanos) {
        mPermits.want(mPermit, mPlan.permitParts());
        // Waiting for local memory while holding the permit cannot deadlock: the memory is used by
        // attempts on a single engine, which end without waiting for this run.
        boolean reserved =
                mPermits.valid(mPermit, nowNanos)
                        && mLedger.reserveAll(mPlan.memoryParts(), nowNanos)
                                instanceof ReserveDecision.Reserved;
        if (reserved) {
            mPermits.use(mPermit, nowNanos);
        }
        return reserved;
    }

    @Override
    public boolean withdrawn() {
        return mPermits.surplus().contains(mPermit);
    }

    @Override
    public void exported(PromptPart part, String handle) {
        mLedger.exported(part.upstream(), handle, mPlan.last().attempt());
    }

    @Override
    public void exportReleased(PromptPart part, String handle) {
        mLedger.exportReleased(part.upstream(), handle);
    }

    @Override
    public void release() {
        mPlan.parts().forEach(part -> mLedger.release(part.attempt()));
        mPermits.release(mPermit);
    }
}
