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
public final class PermitHolder {
    /** Taken off the lease for monotonic clocks that differ by up to 1% in rate. */
    public static final long CLOCK_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    /** A granted permit without work is given back after this time. */
    public static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private final InstanceId mInstance;
    private final long mIncarnation;
    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final Map<UpstreamId, ColdEvidence> mEvidence = new LinkedHashMap<>();
    private long mSequence;
    private long mAskedNanos;
    private boolean mAwaiting;

    /** Makes a holder without permits. */
    public PermitHolder(InstanceId instance, long incarnation) {
        mInstance = instance;
        mIncarnation = incarnation;
    }

    /**
     * Asks for a permit with the next request. Nothing happens if the name is already asked for.
     *
     * @param name name of the claim, unique for this instance
     * @param parts what is needed, all or nothing
     */
    public void want(String name, List<PermitPart> parts) {
        mEntries.computeIfAbsent(name, key -> new Entry(key, parts));
    }

    /** Returns whether the permit may be used now. */
    public boolean valid(String name, long nowNanos) {
        Entry entry = mEntries.get(name);
        return entry != null && entry.valid(nowNanos);
    }

    /**
     * Marks that work starts under a permit. Check it at the moment of sending.
     *
     * @return false if the permit is not valid now; nothing may be sent then
     */
    public boolean use(String name, long nowNanos) {
        Entry entry = mEntries.get(name);
        if (entry == null || !entry.valid(nowNanos)) {
            return false;
        }
        entry.mInUse = true;
        return true;
    }

    /** Gives a permit back, or stops to ask for it; the leader learns it with the next request. */
    public void release(String name) {
        mEntries.remove(name);
    }

    /** Adds what was seen of a cold upstream to the next request. */
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
     * Returns the next renewal. Permits that lie idle are left out and so given back. It voids the
     * answers to earlier requests, so make it only after the last one was answered or has timed
     * out; else a leader further away than the renewal period could never grant anything.
     */
    public PermitRequest request(long nowNanos) {
        mEntries.values().removeIf(entry -> entry.idle(nowNanos));
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
     * Takes an answer. Only the first answer to the newest request counts: the leader has already
     * counted on older ones being dropped.
     *
     * @return false if the answer was dropped
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

    /**
     * Returns the names under which work runs although the leader refused to renew them: that work
     * has to be moved. Work whose permit merely could not be renewed goes on.
     */
    public List<String> surplus() {
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
    public List<String> restarted(UpstreamId upstream, long incarnation) {
        List<String> ended =
                mEntries.values().stream()
                        .filter(entry -> entry.meansOther(upstream, incarnation))
                        .map(entry -> entry.mName)
                        .toList();
        ended.forEach(mEntries::remove);
        return ended;
    }

    /** Returns how much of a resource the valid permits allow now. */
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
            // A permit that had lapsed starts anew, or it would be given back as idle at once.
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
