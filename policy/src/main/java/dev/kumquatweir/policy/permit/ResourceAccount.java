package dev.kumquatweir.policy.permit;

import java.util.LinkedHashMap;
import java.util.Map;

/** The claims on one resource. Not thread-safe: part of {@link PermitLedger}. */
final class ResourceAccount {
    private final boolean mSingle;
    private final Map<PermitLedger.Claim, PermitPart> mClaims = new LinkedHashMap<>();
    private boolean mLimited;
    private long mIncarnation;
    private long mLimit;
    private long mObserved;
    private long mObservedNanos;

    ResourceAccount(PermitResource resource) {
        mSingle = resource instanceof PermitResource.SuspectRun;
        mLimited = mSingle;
        mLimit = mSingle ? 1 : 0;
    }

    void limit(long incarnation, long amount) {
        if (mLimited && incarnation < mIncarnation) {
            return;
        }
        if (incarnation > mIncarnation) {
            mObserved = 0;
        }
        mLimited = true;
        mIncarnation = incarnation;
        mLimit = amount;
    }

    void close() {
        mLimited = mSingle;
    }

    void observe(long amount, long nowNanos) {
        mObserved = amount;
        mObservedNanos = nowNanos;
    }

    void add(PermitLedger.Claim claim, PermitPart part) {
        mClaims.put(claim, part);
    }

    void remove(PermitLedger.Claim claim) {
        mClaims.remove(claim);
    }

    boolean unused() {
        return mClaims.isEmpty() && (mSingle || !mLimited);
    }

    long exposure(long nowNanos) {
        long sum = 0;
        for (Map.Entry<PermitLedger.Claim, PermitPart> entry : mClaims.entrySet()) {
            sum += entry.getKey().exposed(nowNanos) ? entry.getValue().amount() : 0;
        }
        return sum;
    }

    /**
     * A renewal has to fit next to the claims granted before it, so that a smaller limit ends the
     * newest ones. A new claim has to fit next to all that may be valid, next to what the upstream
     * reports, and next to the claims that wait before it.
     */
    boolean fits(PermitLedger.Claim asked, PermitPart part, long nowNanos) {
        if (!possible(part)) {
            return false;
        }
        boolean renewing = asked.renewing(nowNanos);
        long exposed = 0;
        long waiting = 0;
        for (Map.Entry<PermitLedger.Claim, PermitPart> entry : mClaims.entrySet()) {
            PermitLedger.Claim other = entry.getKey();
            long amount = entry.getValue().amount();
            if (other == asked) {
                continue;
            }
            if (other.exposed(nowNanos)) {
                exposed += !renewing || other.order() < asked.order() ? amount : 0;
            } else if (!renewing
                    && other.waiting(nowNanos)
                    && other.before(asked)
                    && possible(entry.getValue())) {
                waiting += amount;
            }
            // With hundreds of holders behind a small limit the first few claims decide.
            if (exposed + waiting > mLimit - part.amount()) {
                return false;
            }
        }
        // Work that already runs is part of what the upstream reports.
        boolean reported = !renewing && !asked.inUse() && fresh(nowNanos);
        long used = reported ? Math.max(exposed, mObserved) : exposed;
        return used + waiting + part.amount() <= mLimit;
    }

    private boolean possible(PermitPart part) {
        return mLimited && part.incarnation() == mIncarnation && part.amount() <= mLimit;
    }

    private boolean fresh(long nowNanos) {
        return mObserved > 0 && nowNanos - mObservedNanos < PermitLedger.LEASE_NANOS;
    }
}
