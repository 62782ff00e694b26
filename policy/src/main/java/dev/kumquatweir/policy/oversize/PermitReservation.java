package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.policy.memory.MemoryLedger;
import dev.kumquatweir.policy.memory.ReserveDecision;
import dev.kumquatweir.policy.permit.PermitHolder;

/**
 * Reservation by one permit for the memory of all engines and by entries in this instance's memory
 * ledger. Not thread-safe: owned by the event loop that owns the run.
 */
public final class PermitReservation implements OversizeReservation {
    private final OversizePlan mPlan;
    private final PermitHolder mPermits;
    private final MemoryLedger mLedger;
    private final String mPermitName;

    /** Creates a reservation that has not claimed any memory yet. */
    public PermitReservation(OversizePlan plan, PermitHolder permits, MemoryLedger ledger) {
        mPlan = plan;
        mPermits = permits;
        mLedger = ledger;
        mPermitName = plan.lastPart().attempt().value();
    }

    @Override
    public boolean tryAcquire(long nowNanos) {
        mPermits.claim(mPermitName, mPlan.permitParts());
        // Waiting for local memory while holding the permit cannot deadlock: the memory is used by
        // attempts on a single engine, which end without waiting for this run.
        boolean reserved =
                mPermits.isValid(mPermitName, nowNanos)
                        && mLedger.reserveAll(mPlan.memoryParts(), nowNanos)
                                instanceof ReserveDecision.Reserved;
        if (reserved) {
            mPermits.tryUse(mPermitName, nowNanos);
        }
        return reserved;
    }

    @Override
    public boolean isRevoked() {
        return mPermits.refusedInUse().contains(mPermitName);
    }

    @Override
    public void recordExport(PromptPart part, String handle) {
        mLedger.recordExport(part.upstream(), handle, mPlan.lastPart().attempt());
    }

    @Override
    public void recordExportRelease(PromptPart part, String handle) {
        mLedger.recordExportRelease(part.upstream(), handle);
    }

    @Override
    public void release() {
        mPlan.parts().forEach(part -> mLedger.release(part.attempt()));
        mPermits.release(mPermitName);
    }
}
