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
 * duty.
 */
public final class PermitHolder implements Permits {
    /** Subtracted from the lease because monotonic clocks may differ by up to 1% in rate. */
    public static final long CLOCK_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /** Time after which a granted permit that is not in use is released. */
    public static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Maximum time between two requests while there are claims. */
    public static final long RENEW_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time after which a request without an answer counts as lost. */
    public static final long ANSWER_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Minimum time between two requests, so that concurrent changes are sent together. */
    private static final long SHORTEST_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /**
     * First interval between two requests while a claim waits. It is doubled with each request, up
     * to {@link #RENEW_NANOS}.
     */
    private static final long WAITING_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    private final InstanceId mInstance;
    private final long mIncarnation;
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final Map<UpstreamId, ColdEvidence> mEvidence = new LinkedHashMap<>();
    private long mSequence;
    private long mAskedNanos;
    private boolean mAwaiting;
    private boolean mUnanswered;
    private boolean mChanged;
    private long mPauseNanos = WAITING_NANOS;

    /** Creates a holder without permits. */
    public PermitHolder(InstanceId instance, long incarnation) {
        mInstance = instance;
        mIncarnation = incarnation;
    }

    @Override
    public void want(String name, List<PermitPart> parts) {
        if (!mEntries.containsKey(name)) {
            mEntries.put(name, new Entry(name, parts));
            mChanged = true;
        }
    }

    @Override
    public void adopt(String name, List<PermitPart> parts) {
        want(name, parts);
        Entry entry = mEntries.get(name);
        if (entry != null) {
            entry.mInUse = true;
        }
    }

    @Override
    public boolean valid(String name, long nowNanos) {
        Entry entry = mEntries.get(name);
        return entry != null && entry.valid(nowNanos);
    }

    @Override
    public boolean refused(String name) {
        Entry entry = mEntries.get(name);
        return entry != null && entry.mRefused;
    }

    @Override
    public boolean known(String name) {
        return mEntries.containsKey(name);
    }

    @Override
    public boolean use(String name, long nowNanos) {
        Entry entry = mEntries.get(name);
        if (entry == null || !entry.valid(nowNanos)) {
            return false;
        }
        entry.mInUse = true;
        return true;
    }

    @Override
    public void release(String name) {
        mChanged |= mEntries.remove(name) != null;
    }

    /**
     * Returns whether the next request is to be sent. It is due immediately after a change of the
     * claims, after the retry interval while a claim waits or an answer is missing, and otherwise
     * after the renewal interval while there are claims. It is not due while an answer is awaited.
     */
    public boolean due(long nowNanos) {
        if (mSequence == 0) {
            return !mEntries.isEmpty();
        }
        long sinceNanos = nowNanos - mAskedNanos;
        if (mAwaiting && sinceNanos < ANSWER_LIMIT_NANOS) {
            return false;
        }
        if (mChanged) {
            return sinceNanos >= SHORTEST_NANOS;
        }
        boolean waiting =
                mAwaiting
                        || mUnanswered
                        || mEntries.values().stream().anyMatch(entry -> !entry.valid(nowNanos));
        long pauseNanos = waiting ? mPauseNanos : RENEW_NANOS;
        return (waiting || !mEntries.isEmpty()) && sinceNanos >= pauseNanos;
    }

    /** Returns the number of permits that are valid at the given time. */
    public int validCount(long nowNanos) {
        return (int) mEntries.values().stream().filter(entry -> entry.valid(nowNanos)).count();
    }

    /** Adds first-token counts of an upstream to the next request. */
    public void saw(ColdEvidence evidence) {
        mEvidence.merge(
                evidence.upstream(),
                evidence,
                (old, fresh) ->
                        old.incarnation() == fresh.incarnation()
                                ? old.plus(fresh)
                                : old.incarnation() < fresh.incarnation() ? fresh : old);
    }

    /**
     * Returns the next renewal request. Permits that have been idle for too long are left out and
     * thereby released. Answers to earlier requests are rejected from then on, so call this only
     * after the last request was answered or has timed out; otherwise a leader whose round trip
     * exceeds the renewal interval could never grant anything.
     */
    public PermitRequest request(long nowNanos) {
        mEntries.values().removeIf(entry -> entry.idle(nowNanos));
        mPauseNanos = mChanged ? WAITING_NANOS : Math.min(2 * mPauseNanos, RENEW_NANOS);
        mChanged = false;
        mUnanswered = false;
        mSequence++;
        mAskedNanos = nowNanos;
        mAwaiting = true;
        List<PermitClaim> claims = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            entry.mAskedSequence = mSequence;
            claims.add(
                    new PermitClaim(
                            entry.mName, entry.mParts, entry.valid(nowNanos), entry.mInUse));
        }
        List<ColdEvidence> evidence = List.copyOf(mEvidence.values());
        mEvidence.clear();
        return new PermitRequest(mInstance, mIncarnation, mSequence, claims, evidence);
    }

    /**
     * Processes an answer of the leader. Only the first answer to the newest request is accepted:
     * with each request the leader stops counting grants that the holder did not report as held.
     *
     * @return false if the answer was rejected
     */
    public boolean granted(PermitGrant grant, long nowNanos) {
        boolean expected =
                mAwaiting
                        && grant.holder().equals(mInstance)
                        && grant.holderIncarnation() == mIncarnation
                        && grant.sequence() == mSequence;
        if (!expected) {
            return false;
        }
        mAwaiting = false;
        long until = mAskedNanos + PermitLedger.LEASE_NANOS - CLOCK_MARGIN_NANOS;
        for (Entry entry : mEntries.values()) {
            if (entry.mAskedSequence == mSequence) {
                entry.answered(grant.granted().contains(entry.mName), until, nowNanos);
            }
        }
        return true;
    }

    /** Records that a request will not be answered, so that the next one does not wait for it. */
    public void unanswered(long sequence) {
        if (mAwaiting && sequence == mSequence) {
            mAwaiting = false;
            mUnanswered = true;
        }
    }

    /**
     * Returns the names of the claims that are in use although the leader refused them. Their work
     * has to be moved; work whose permit expired without an answer from the leader continues.
     */
    public List<String> surplus() {
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
    public List<String> restarted(UpstreamId upstream, long incarnation) {
        List<String> ended =
                mEntries.values().stream()
                        .filter(entry -> entry.meansOther(upstream, incarnation))
                        .map(entry -> entry.mName)
                        .toList();
        ended.forEach(this::release);
        return ended;
    }

    /** Returns the total amount of a resource covered by the permits valid at the given time. */
    public long allowed(PermitResource resource, long nowNanos) {
        long sum = 0;
        for (Entry entry : mEntries.values()) {
            for (PermitPart part : entry.mParts) {
                boolean counts = part.resource().equals(resource) && entry.valid(nowNanos);
                sum += counts ? part.amount() : 0;
            }
        }
        return sum;
    }

    private static final class Entry {
        private final String mName;
        private final List<PermitPart> mParts;
        private long mAskedSequence;
        private long mValidUntilNanos;
        private long mGrantedNanos;
        private boolean mGranted;
        private boolean mRefused;
        private boolean mInUse;

        Entry(String name, List<PermitPart> parts) {
            mName = name;
            mParts = List.copyOf(parts);
        }

        boolean valid(long nowNanos) {
            return mGranted && mValidUntilNanos - nowNanos > 0;
        }

        boolean idle(long nowNanos) {
            return mGranted && !mInUse && nowNanos - mGrantedNanos >= IDLE_NANOS;
        }

        void answered(boolean granted, long untilNanos, long nowNanos) {
            // Restarts the idle time of an expired permit; it would be released at once otherwise.
            if (granted && !valid(nowNanos)) {
                mGrantedNanos = nowNanos;
            }
            mRefused = !granted;
            mGranted = granted;
            mValidUntilNanos = untilNanos;
        }

        boolean meansOther(UpstreamId upstream, long incarnation) {
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
