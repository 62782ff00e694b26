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
 * The permits of one instance, and the requests that claim and renew them at the leader. A permit
 * is valid for one lease from the time of the request, so that it expires here before it expires in
 * the leader's ledger, even if this process was suspended. Not thread-safe: owned by the dispatch
 * event loop.
 */
public final class PermitHolder implements Permits {
    /** Subtracted from the lease because monotonic clocks may differ by up to 1% in rate. */
    public static final long CLOCK_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /** Time after which a granted permit that is not in use is released. */
    public static final long IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Maximum time between two requests while there are claims. */
    public static final long RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time after which a request without an answer counts as lost. */
    public static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Minimum time between two requests, so that concurrent changes are sent together. */
    private static final long MINIMUM_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /**
     * First interval between two requests while a claim waits. It is doubled with each request, up
     * to {@link #RENEWAL_INTERVAL_NANOS}.
     */
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

    /** Creates a holder without permits. */
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
     * Returns whether the next request is to be sent. It is due immediately after a change of the
     * claims, after the retry interval while a claim waits or an answer is missing, and otherwise
     * after the renewal interval while there are claims. It is not due while an answer is awaited.
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

    /** Returns the number of permits that are valid at the given time. */
    public int validCount(long nowNanos) {
        return (int) mEntries.values().stream().filter(entry -> entry.isValid(nowNanos)).count();
    }

    /** Adds first-token counts of an upstream to the next request. */
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
     * Returns the next renewal request. Permits that have been idle for too long are left out and
     * thereby released. Answers to earlier requests are rejected from then on, so call this only
     * after the last request was answered or has timed out; otherwise a leader whose round trip
     * exceeds the renewal interval could never grant anything.
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
     * Processes an answer of the leader. Only the first answer to the newest request is accepted:
     * with each request the leader stops counting grants that the holder did not report as held.
     *
     * @return false if the answer was rejected
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

    /** Records that a request will not be answered, so that the next one does not wait for it. */
    public void onNoAnswer(long sequence) {
        if (mAwaitingAnswer && sequence == mSequence) {
            mAwaitingAnswer = false;
            mUnanswered = true;
        }
    }

    /**
     * Returns the names of the claims that are in use although the leader refused them. Their work
     * has to be moved; work whose permit expired without an answer from the leader continues.
     */
    public List<String> refusedInUse() {
        return mEntries.values().stream()
                .filter(entry -> entry.mInUse && entry.mRefused)
                .map(entry -> entry.mName)
                .toList();
    }

    /**
     * Releases the permits for incarnations of an upstream other than the given one.
     *
     * @return names of the released permits
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

    /** Returns the total amount of a resource covered by the permits valid at the given time. */
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
            // Restarts the idle time of an expired permit; it would be released at once otherwise.
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
