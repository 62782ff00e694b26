package dev.kumquatweir.policy.permit;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limit of one resource, the claims on it, and its use as reported by the upstream. Not
 * thread-safe: owned by {@link PermitLedger}.
 */
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
     * Returns whether a claim fits into the limit. A renewal has to fit together with the
     * outstanding claims that arrived before it, so that a lowered limit ends the newest ones. A
     * new claim has to fit together with all outstanding claims or the use reported by the
     * upstream, whichever is larger, and with the waiting claims that precede it.
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
            // Early exit: with hundreds of holders and a small limit, a few claims are enough.
            if (exposed + waiting > mLimit - part.amount()) {
                return false;
            }
        }
        // The reported use already includes work that is running.
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
