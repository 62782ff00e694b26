package dev.kumquatweir.policy.permit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limit of one resource, the claims on it, and its use as reported by the upstream. Not
 * thread-safe: owned by {@link PermitLedger}.
 */
final class ResourceAccount {
    private final boolean mExclusive;
    private final Map<PermitLedger.Claim, PermitPart> mClaims = new LinkedHashMap<>();
    private boolean mLimited;
    private long mIncarnation;
    private long mLimit;
    private long mReportedUse;
    private long mReportNanos;

    ResourceAccount(PermitResource resource) {
        mExclusive = resource instanceof PermitResource.SuspectRun;
        mLimited = mExclusive;
        mLimit = mExclusive ? 1 : 0;
    }

    void setLimit(long incarnation, long amount) {
        if (mLimited && incarnation < mIncarnation) {
            return;
        }
        if (incarnation > mIncarnation) {
            mReportedUse = 0;
        }
        mLimited = true;
        mIncarnation = incarnation;
        mLimit = amount;
    }

    void removeLimit() {
        mLimited = mExclusive;
    }

    void recordReportedUse(long amount, long nowNanos) {
        mReportedUse = amount;
        mReportNanos = nowNanos;
    }

    void add(PermitLedger.Claim claim, PermitPart part) {
        mClaims.put(claim, part);
    }

    void remove(PermitLedger.Claim claim) {
        mClaims.remove(claim);
    }

    boolean isUnused() {
        return mClaims.isEmpty() && (mExclusive || !mLimited);
    }

    long outstandingAmount(long nowNanos) {
        long sum = 0;
        for (Map.Entry<PermitLedger.Claim, PermitPart> entry : mClaims.entrySet()) {
            sum += entry.getKey().isOutstanding(nowNanos) ? entry.getValue().amount() : 0;
        }
        return sum;
    }

    /**
     * Returns whether a claim fits into the limit. A renewal has to fit together with the
     * outstanding claims that arrived before it, so that a lowered limit ends the newest ones. A
     * new claim has to fit together with all outstanding claims or the use reported by the
     * upstream, whichever is larger, and with the waiting claims that precede it.
     */
    boolean fits(PermitLedger.Claim claim, PermitPart part, long nowNanos) {
        if (!isSatisfiable(part)) {
            return false;
        }
        boolean renewing = claim.isRenewing(nowNanos);
        long outstanding = 0;
        long waiting = 0;
        for (Map.Entry<PermitLedger.Claim, PermitPart> entry : mClaims.entrySet()) {
            PermitLedger.Claim other = entry.getKey();
            long amount = entry.getValue().amount();
            if (other == claim) {
                continue;
            }
            if (other.isOutstanding(nowNanos)) {
                outstanding +=
                        !renewing || other.arrivalOrder() < claim.arrivalOrder() ? amount : 0;
            } else if (!renewing
                    && other.isWaiting(nowNanos)
                    && other.precedes(claim)
                    && isSatisfiable(entry.getValue())) {
                waiting += amount;
            }
            // Early exit: with hundreds of holders and a small limit, a few claims are enough.
            if (outstanding + waiting > mLimit - part.amount()) {
                return false;
            }
        }
        // The reported use already includes work that is running.
        boolean countsReportedUse = !renewing && !claim.inUse() && isReportRecent(nowNanos);
        long used = countsReportedUse ? Math.max(outstanding, mReportedUse) : outstanding;
        return used + waiting + part.amount() <= mLimit;
    }

    private boolean isSatisfiable(PermitPart part) {
        return mLimited && part.incarnation() == mIncarnation && part.amount() <= mLimit;
    }

    private boolean isReportRecent(long nowNanos) {
        return mReportedUse > 0 && nowNanos - mReportNanos < PermitLedger.LEASE_NANOS;
    }
}
