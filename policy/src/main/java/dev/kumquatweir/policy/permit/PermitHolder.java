package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The permits of one instance. A permit is valid for one lease from when the instance asked, so
 * that it ends here before it ends in the leader's ledger, also if this process was frozen. Not
 * thread-safe: owned by the dispatch duty.
 */
public final class PermitHolder implements Permits {
    /** Taken off the lease for monotonic clocks that differ by up to 1% in rate. */
    public static final long CLOCK_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /** A granted permit without work is given back after this time. */
    public static final long IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Longest time between two requests while there are claims. */
    public static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** A request without an answer for so long counts as lost. */
    public static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Shortest time between two requests, so that changes of one moment go out together. */
    private static final long MINIMUM_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** First time between two requests while a claim waits; doubled up to the usual time. */
    private static final long INITIAL_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final InstanceId mInstance;
    private final long mIncarnation;
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final Map<UpstreamId, FirstTokenEvidence> mEvidence = new LinkedHashMap<>();
    private long mSequence;
    private long mRequestedNanos;
    private boolean mAwaitingAnswer;
    private boolean mUnanswered;
    private boolean mClaimsChanged;
    private long mRetryIntervalNanos = INITIAL_RETRY_INTERVAL_NANOS;

    /** Makes a holder without permits. */
    public PermitHolder(InstanceId instance, long incarnation) {
        mInstance = instance;
        mIncarnation = incarnation;
    }

    @Override
    public void claim(String name, List<PermitPart> parts) {
        if (!mEntries.containsKey(name)) {
            mEntries.put(name, new Entry(name, parts));
            mClaimsChanged = true;
        }
    }

    @Override
    public void claimRunning(String name, List<PermitPart> parts) {
        claim(name, parts);
        Entry entry = mEntries.get(name);
        if (entry != null) {
            entry.mInUse = true;
        }
    }

    @Override
    public boolean isValid(String name, long nowNanos) {
        Entry entry = mEntries.get(name);
        return entry != null && entry.isValid(nowNanos);
    }

    @Override
    public boolean isRefused(String name) {
        Entry entry = mEntries.get(name);
        return entry != null && entry.mRefused;
    }

    @Override
    public boolean isClaimed(String name) {
        return mEntries.containsKey(name);
    }

    @Override
    public boolean tryUse(String name, long nowNanos) {
        Entry entry = mEntries.get(name);
        if (entry == null || !entry.isValid(nowNanos)) {
            return false;
        }
        entry.mInUse = true;
        return true;
    }

    @Override
    public void release(String name) {
        mClaimsChanged |= mEntries.remove(name) != null;
    }

    /**
     * Returns whether the next request is to be made: at once after a change, soon while a claim
     * waits, else regularly while there are claims. While an answer is awaited it is not.
     */
    public boolean isRenewalDue(long nowNanos) {
        if (mSequence == 0) {
            return !mEntries.isEmpty();
        }
        long elapsedNanos = nowNanos - mRequestedNanos;
        if (mAwaitingAnswer && elapsedNanos < ANSWER_TIMEOUT_NANOS) {
            return false;
        }
        if (mClaimsChanged) {
            return elapsedNanos >= MINIMUM_REQUEST_INTERVAL_NANOS;
        }
        boolean waiting =
                mAwaitingAnswer
                        || mUnanswered
                        || mEntries.values().stream().anyMatch(entry -> !entry.isValid(nowNanos));
        long intervalNanos = waiting ? mRetryIntervalNanos : RENEWAL_INTERVAL_NANOS;
        return (waiting || !mEntries.isEmpty()) && elapsedNanos >= intervalNanos;
    }

    /** Returns the number of permits that are valid now. */
    public int validCount(long nowNanos) {
        return (int) mEntries.values().stream().filter(entry -> entry.isValid(nowNanos)).count();
    }

    /** Adds what was seen of a cold upstream to the next request. */
    public void addEvidence(FirstTokenEvidence evidence) {
        mEvidence.merge(
                evidence.upstream(),
                evidence,
                (previous, added) ->
                        previous.incarnation() == added.incarnation()
                                ? previous.plus(added)
                                : previous.incarnation() < added.incarnation() ? added : previous);
    }

    /**
     * Returns the next renewal. Permits that lie idle are left out and so given back. It voids the
     * answers to earlier requests, so make it only after the last one was answered or has timed
     * out; else a leader further away than the renewal period could never grant anything.
     */
    public PermitRequest nextRequest(long nowNanos) {
        mEntries.values().removeIf(entry -> entry.isIdle(nowNanos));
        mRetryIntervalNanos =
                mClaimsChanged
                        ? INITIAL_RETRY_INTERVAL_NANOS
                        : Math.min(2 * mRetryIntervalNanos, RENEWAL_INTERVAL_NANOS);
        mClaimsChanged = false;
        mUnanswered = false;
        mSequence++;
        mRequestedNanos = nowNanos;
        mAwaitingAnswer = true;
        List<PermitClaim> claims = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            entry.mRequestSequence = mSequence;
            claims.add(
                    new PermitClaim(
                            entry.mName, entry.mParts, entry.isValid(nowNanos), entry.mInUse));
        }
        List<FirstTokenEvidence> evidence = List.copyOf(mEvidence.values());
        mEvidence.clear();
        return new PermitRequest(mInstance, mIncarnation, mSequence, claims, evidence);
    }

    /**
     * Takes an answer. Only the first answer to the newest request counts: the leader has already
     * counted on older ones being dropped.
     *
     * @return false if the answer was dropped
     */
    public boolean acceptGrant(PermitGrant grant, long nowNanos) {
        boolean expected =
                mAwaitingAnswer
                        && grant.holder().equals(mInstance)
                        && grant.holderIncarnation() == mIncarnation
                        && grant.sequence() == mSequence;
        if (!expected) {
            return false;
        }
        mAwaitingAnswer = false;
        long validUntilNanos = mRequestedNanos + PermitLedger.LEASE_NANOS - CLOCK_MARGIN_NANOS;
        for (Entry entry : mEntries.values()) {
            if (entry.mRequestSequence == mSequence) {
                entry.onAnswer(grant.granted().contains(entry.mName), validUntilNanos, nowNanos);
            }
        }
        return true;
    }

    /** Takes note that a request brings no answer, so that the next one need not wait for it. */
    public void onNoAnswer(long sequence) {
        if (mAwaitingAnswer && sequence == mSequence) {
            mAwaitingAnswer = false;
            mUnanswered = true;
        }
    }

    /**
     * Returns the names under which work runs although the leader refused to renew them: that work
     * has to be moved. Work whose permit merely could not be renewed goes on.
     */
    public List<String> refusedInUse() {
        return mEntries.values().stream()
                .filter(entry -> entry.mInUse && entry.mRefused)
                .map(entry -> entry.mName)
                .toList();
    }

    /**
     * Ends the permits that were given for another incarnation of an upstream.
     *
     * @return their names
     */
    public List<String> releaseOtherIncarnations(UpstreamId upstream, long incarnation) {
        List<String> released =
                mEntries.values().stream()
                        .filter(entry -> entry.hasOtherIncarnation(upstream, incarnation))
                        .map(entry -> entry.mName)
                        .toList();
        released.forEach(this::release);
        return released;
    }

    /** Returns how much of a resource the valid permits allow now. */
    public long allowedAmount(PermitResource resource, long nowNanos) {
        long sum = 0;
        for (Entry entry : mEntries.values()) {
            for (PermitPart part : entry.mParts) {
                boolean counts = part.resource().equals(resource) && entry.isValid(nowNanos);
                sum += counts ? part.amount() : 0;
            }
        }
        return sum;
    }

    private static final class Entry {
        private final String mName;
        private final List<PermitPart> mParts;
        private long mRequestSequence;
        private long mValidUntilNanos;
        private long mGrantedNanos;
        private boolean mGranted;
        private boolean mRefused;
        private boolean mInUse;

        Entry(String name, List<PermitPart> parts) {
            mName = name;
            mParts = List.copyOf(parts);
        }

        boolean isValid(long nowNanos) {
            return mGranted && mValidUntilNanos - nowNanos > 0;
        }

        boolean isIdle(long nowNanos) {
            return mGranted && !mInUse && nowNanos - mGrantedNanos >= IDLE_TIMEOUT_NANOS;
        }

        void onAnswer(boolean granted, long untilNanos, long nowNanos) {
            // A permit that had lapsed starts anew, or it would be given back as idle at once.
            if (granted && !isValid(nowNanos)) {
                mGrantedNanos = nowNanos;
            }
            mRefused = !granted;
            mGranted = granted;
            mValidUntilNanos = untilNanos;
        }

        boolean hasOtherIncarnation(UpstreamId upstream, long incarnation) {
            return mParts.stream()
                    .anyMatch(
                            part ->
                                    part.incarnation() != incarnation
                                            && upstream.equals(upstreamOf(part.resource())));
        }

        private static @Nullable UpstreamId upstreamOf(PermitResource resource) {
            return switch (resource) {
                case PermitResource.ColdRequests cold -> cold.upstream();
                case PermitResource.ColdPrefill cold -> cold.upstream();
                case PermitResource.EngineMemory memory -> memory.upstream();
                case PermitResource.SuspectRun suspect -> null;
                case PermitResource.WeightStoreLoads loads -> null;
            };
        }
    }
}
