package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.policy.memory.MemoryLedger;
import dev.kumquatweir.policy.memory.ReserveDecision;
import dev.kumquatweir.policy.permit.PermitHolder;

/**
 * Holds the memory by one permit for all engines and by reservations in the account of this
 * instance. Not thread-safe.
 */
public final class PermitReservation implements OversizeReservation {
    private final OversizePlan mPlan;
    private final PermitHolder mPermits;
    private final MemoryLedger mLedger;
    private final String mPermitName;

    /** Makes a reservation that asks for nothing yet. */
    public PermitReservation(OversizePlan plan, PermitHolder permits, MemoryLedger ledger) {
        mPlan = plan;
        mPermits = permits;
        mLedger = ledger;
        mPermitName = plan.lastPart().attempt().value();
    }

    @Override
    public boolean tryAcquire(long nowNanos) {
        mPermits.claim(mPermitName, mPlan.permitParts());
        // Waiting for local memory with the permit in hand can't deadlock: what is in the way are
        // single attempts, which end by themselves.
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
