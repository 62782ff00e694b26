package dev.kumquatweir.policy.permit;

import java.util.LinkedHashMap;
import java.util.Map;

/** The claims on one resource. Not thread-safe: part of {@link PermitLedger}. */
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

    void close() {
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
     * A renewal has to fit next to the claims granted before it, so that a smaller limit ends the
     * newest ones. A new claim has to fit next to all that may be valid, next to what the upstream
     * reports, and next to the claims that wait before it.
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
            // With hundreds of holders behind a small limit the first few claims decide.
            if (outstanding + waiting > mLimit - part.amount()) {
                return false;
            }
        }
        // Work that already runs is part of what the upstream reports.
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
