package dev.kumquatweir.policy.quarantine;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Finds requests that crash the upstreams which execute them. Each request that ran on an upstream
 * when it died becomes a suspect and then runs alone, so that the next death has one cause at most;
 * at the second one it is refused. A lost connection counts as a death until the upstream is heard
 * again. Not thread-safe: owned by the dispatch duty.
 */
public final class Quarantine {
    /** Longest delay of a report on its way; an instance gives up a silent peer after this time. */
    private static final long SIGN_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final int mDeathLimit;
    private final double mExclusiveShare;
    private final long mClearTokens;
    private final long mRetryNanos;
    private final long mMemoryNanos;
    private final MarkStore mMarks;
    private final DomainLosses mLosses;
    private final Map<AttemptId, Run> mRuns = new LinkedHashMap<>();
    private final Map<UpstreamId, Run> mAlone = new HashMap<>();
    private final Map<UpstreamIncarnation, List<Run>> mBroken = new HashMap<>();
    private final Map<UpstreamIncarnation, Long> mPlanned = new HashMap<>();
    private final Map<String, Long> mTokensAtDeath = new HashMap<>();
    private final ExclusiveUses mUses;
    private long mChanges;

    private Quarantine(Builder builder) {
        mDeathLimit = builder.mDeathLimit;
        mExclusiveShare = builder.mExclusiveShare;
        mClearTokens = builder.mClearTokens;
        mRetryNanos = TimeUnit.MILLISECONDS.toNanos(100);
        mMemoryNanos = TimeUnit.SECONDS.toNanos(15);
        mUses = new ExclusiveUses(builder.mOwner);
        mMarks =
                new MarkStore(
                        builder.mMaximumMarks,
                        builder.mLifetimeNanos,
                        Math.min(mMemoryNanos, builder.mLifetimeNanos),
                        Math.min(TimeUnit.SECONDS.toNanos(5), builder.mLifetimeNanos / 4));
        mLosses = new DomainLosses(builder.mDomainLossUpstreams, builder.mDomainLossNanos);
    }

    /**
     * Starts a quarantine after 2 deaths, for 15 minutes, with up to 10,000 marks; at most a
     * quarter of the upstreams run suspects alone; 3 upstreams of a domain within 5 s are a domain
     * loss.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Decides how a request may run; ask before each attempt.
     *
     * @param contentHash hash of the request's content
     * @param liveUpstreams upstreams that could run it
     */
    public QuarantineDecision decide(String contentHash, int liveUpstreams, long nowNanos) {
        int confirmed = mMarks.count(contentHash, SuspicionState.CONFIRMED, nowNanos);
        int provisional = mMarks.count(contentHash, SuspicionState.PROVISIONAL, nowNanos);
        if (confirmed >= mDeathLimit) {
            return new QuarantineDecision.Refuse(
                    new RequestFailure.Quarantined(confirmed, Executed.NO));
        }
        if (confirmed + provisional == 0) {
            return new QuarantineDecision.RunUnrestricted();
        }
        boolean turn =
                mUses.reserved(contentHash, nowNanos)
                        || mAlone.size() + mUses.size()
                                < Math.max(1, (long) (liveUpstreams * mExclusiveShare));
        if (!turn
                || confirmed + provisional >= mDeathLimit
                || mUses.elsewhere(contentHash, nowNanos)) {
            return new QuarantineDecision.Wait(nowNanos + mRetryNanos);
        }
        return new QuarantineDecision.RunAlone(mMarks.blamedUpstreams(contentHash, nowNanos));
    }

    /** Returns whether a suspect runs alone on an upstream, so that nothing else may go there. */
    public boolean exclusive(UpstreamId upstream, long nowNanos) {
        return exclusiveUpstreams(nowNanos).contains(upstream);
    }

    /** Returns the upstreams that take nothing but a suspect. */
    public Set<UpstreamId> exclusiveUpstreams(long nowNanos) {
        Set<UpstreamId> reserved = mUses.upstreams(nowNanos);
        if (mAlone.isEmpty()) {
            return reserved;
        }
        Set<UpstreamId> upstreams = new HashSet<>(reserved);
        upstreams.addAll(mAlone.keySet());
        return upstreams;
    }

    /**
     * Keeps new work away from an upstream, so that a suspect can run alone there; renewed by
     * asking again, at least every 500 ms.
     *
     * @return false if another suspect goes first there, or the same content on another instance
     */
    public boolean reserve(String contentHash, UpstreamIncarnation place, long nowNanos) {
        if (mAlone.containsKey(place.upstream()) || runsAlone(contentHash)) {
            return false;
        }
        int before = mUses.size();
        boolean reserved = mUses.reserve(contentHash, place, nowNanos);
        mChanges += mUses.size() == before ? 0 : 1;
        return reserved;
    }

    /** Returns a number that grows with each change that other instances should hear of at once. */
    public long changeCount() {
        return mChanges;
    }

    /** Takes the start of an attempt that may share its upstream. */
    public void attemptStarted(
            AttemptId attempt,
            String contentHash,
            UpstreamIncarnation place,
            FailureDomain domain) {
        mRuns.put(attempt, new Run(contentHash, place, domain, false));
    }

    /** Takes the start of a suspect on an upstream that runs nothing else. */
    public void attemptStartedAlone(
            AttemptId attempt,
            String contentHash,
            UpstreamIncarnation place,
            FailureDomain domain) {
        Run run = new Run(contentHash, place, domain, true);
        mRuns.put(attempt, run);
        mUses.release(place.upstream());
        mAlone.put(place.upstream(), run);
        mChanges++;
    }

    /**
     * Takes the progress of an attempt. A suspect that got past the point of the death is cleared.
     *
     * @param tokens all tokens of the answer so far
     */
    public void attemptProgressed(AttemptId attempt, long tokens) {
        Run run = mRuns.get(attempt);
        if (run == null) {
            return;
        }
        run.mTokens = tokens;
        Long atDeath = mTokensAtDeath.get(run.mContentHash);
        if (run.mAlone && atDeath != null && tokens >= atDeath + mClearTokens) {
            clear(run);
        }
    }

    /** Takes the whole answer of an attempt: if it ran alone, it is no suspect any more. */
    public void attemptFinished(AttemptId attempt) {
        Run run = mRuns.remove(attempt);
        if (run != null && run.mAlone) {
            clear(run);
        }
    }

    /** Takes the end of an attempt that was cancelled or never ran; it proves nothing. */
    public void attemptCancelled(AttemptId attempt) {
        endAlone(mRuns.remove(attempt));
    }

    /** Takes the break of an attempt. Whether its upstream died is often known only later. */
    public void attemptBroken(AttemptId attempt, AttemptEvent.BreakCause how, long nowNanos) {
        Run run = mRuns.remove(attempt);
        endAlone(run);
        if (run == null || planned(run.mDeath, nowNanos)) {
            return;
        }
        run.mBrokenNanos = nowNanos;
        switch (how) {
            case CONNECTION_LOST, UPSTREAM_GONE -> {
                remember(run);
                if (lostDomain(run.mDeath, run.mDomain, nowNanos).isEmpty()) {
                    blame(run, SuspicionState.PROVISIONAL, nowNanos);
                }
            }
            case SILENT -> remember(run);
            case UPSTREAM_ERROR -> {
                // An upstream that answers with an error has not died.
            }
        }
    }

    /**
     * Takes a sign of life of an incarnation, sent after its connections broke: a heartbeat or an
     * answer. Its lost connections were no death.
     */
    public void upstreamAlive(UpstreamIncarnation place) {
        if (mBroken.remove(place) != null) {
            mMarks.excuse(place);
            mLosses.remove(place);
        }
    }

    /**
     * As {@link #upstreamAlive(UpstreamIncarnation)}, unless the connections broke so shortly ago
     * that the sign may have been sent before and passed on by another instance.
     */
    public void upstreamAlive(UpstreamIncarnation place, long nowNanos) {
        List<Run> broken = mBroken.get(place);
        if (broken != null
                && broken.stream()
                        .allMatch(run -> nowNanos - run.mBrokenNanos >= SIGN_DELAY_NANOS)) {
            upstreamAlive(place);
        }
    }

    /** Takes the word of an upstream that it leaves; its end blames nobody. */
    public void upstreamLeaving(UpstreamIncarnation place, long nowNanos) {
        mPlanned.put(place, nowNanos);
        mMarks.excuse(place);
    }

    /** Takes the death of an upstream: a newer incarnation, or its silence for too long. */
    public TerminationVerdict upstreamTerminated(
            UpstreamIncarnation death, FailureDomain domain, long nowNanos) {
        List<Run> victims = new ArrayList<>(mBroken.getOrDefault(death, List.of()));
        victims.removeIf(run -> nowNanos - run.mBrokenNanos > mMemoryNanos);
        mBroken.remove(death);
        for (Run run : List.copyOf(mRuns.values())) {
            if (run.mDeath.equals(death)) {
                victims.add(run);
                endAlone(run);
            }
        }
        mRuns.values().removeIf(run -> run.mDeath.equals(death));
        if (planned(death, nowNanos)) {
            return new TerminationVerdict.Planned();
        }
        List<UpstreamIncarnation> lost = lostDomain(death, domain, nowNanos);
        if (!lost.isEmpty()) {
            return new TerminationVerdict.DomainLoss(domain, lost.size());
        }
        Set<String> hashes = new HashSet<>();
        for (Run run : victims) {
            blame(run, SuspicionState.CONFIRMED, nowNanos);
            hashes.add(run.mContentHash);
        }
        return new TerminationVerdict.RequestsSuspected(hashes);
    }

    /** Returns what other instances should know, to be sent now and then and at each change. */
    public List<QuarantineMark> marks(long nowNanos) {
        return mMarks.spread(nowNanos);
    }

    /** Takes a mark from another instance. */
    public void mergeRemote(QuarantineMark mark, long nowNanos) {
        mMarks.absorb(mark, nowNanos);
    }

    /** Returns the upstreams that this instance uses or reserves for suspects, to be sent often. */
    public List<ExclusiveUse> exclusiveUses(long nowNanos) {
        List<ExclusiveUse> uses = new ArrayList<>(mUses.own(nowNanos));
        mAlone.values().forEach(run -> uses.add(mUses.use(run.mContentHash, run.mDeath, true)));
        return uses;
    }

    /** Takes all upstreams that another instance uses or reserves for suspects. */
    public void mergeRemote(String owner, List<ExclusiveUse> uses, long nowNanos) {
        mUses.absorb(owner, uses, nowNanos);
    }

    /** Ends the reservation of an upstream. */
    public void release(UpstreamId upstream) {
        mUses.release(upstream);
    }

    /** Forgets what has expired; call it now and then. */
    public void expire(long nowNanos) {
        mMarks.expire(nowNanos);
        mLosses.expire(nowNanos - 2 * mMemoryNanos);
        mPlanned.values().removeIf(time -> nowNanos - time > mMemoryNanos);
        mUses.expire(nowNanos);
        mBroken.values()
                .forEach(runs -> runs.removeIf(run -> nowNanos - run.mBrokenNanos > mMemoryNanos));
        mBroken.values().removeIf(List::isEmpty);
        mTokensAtDeath.keySet().removeIf(hash -> mMarks.blamedUpstreams(hash, nowNanos).isEmpty());
    }

    /** Returns the number of marks. */
    public int size() {
        return mMarks.size();
    }

    private void remember(Run run) {
        mBroken.computeIfAbsent(run.mDeath, key -> new ArrayList<>()).add(run);
    }

    private void blame(Run run, SuspicionState state, long nowNanos) {
        mChanges++;
        mMarks.blame(run.mContentHash, run.mDeath, state, nowNanos);
        mTokensAtDeath.merge(run.mContentHash, run.mTokens, Math::max);
    }

    private void clear(Run run) {
        endAlone(run);
        mChanges++;
        mMarks.excuse(run.mContentHash);
        mTokensAtDeath.remove(run.mContentHash);
    }

    private List<UpstreamIncarnation> lostDomain(
            UpstreamIncarnation death, FailureDomain domain, long nowNanos) {
        List<UpstreamIncarnation> lost = mLosses.add(domain, death, nowNanos);
        lost.forEach(mMarks::excuse);
        return lost;
    }

    private void endAlone(@Nullable Run run) {
        if (run != null && run.mAlone) {
            run.mAlone = false;
            mChanges++;
            mAlone.remove(run.mDeath.upstream(), run);
        }
    }

    private boolean runsAlone(String contentHash) {
        return mAlone.values().stream().anyMatch(run -> run.mContentHash.equals(contentHash));
    }

    private boolean planned(UpstreamIncarnation death, long nowNanos) {
        Long since = mPlanned.get(death);
        return since != null && nowNanos - since <= mMemoryNanos;
    }

    private static final class Run {
        private final String mContentHash;
        private final UpstreamIncarnation mDeath;
        private final FailureDomain mDomain;
        private boolean mAlone;
        private long mTokens;
        private long mBrokenNanos;

        Run(String contentHash, UpstreamIncarnation place, FailureDomain domain, boolean alone) {
            mContentHash = contentHash;
            mDeath = place;
            mDomain = domain;
            mAlone = alone;
        }
    }

    /** Builds a {@link Quarantine}. Not thread-safe. */
    public static final class Builder {
        private String mOwner = "";
        private int mDeathLimit = 2;
        private int mMaximumMarks = 10_000;
        private long mLifetimeNanos = TimeUnit.MINUTES.toNanos(15);
        private double mExclusiveShare = 0.25;
        private long mClearTokens = 16;
        private int mDomainLossUpstreams = 3;
        private long mDomainLossNanos = TimeUnit.SECONDS.toNanos(5);

        private Builder() {}

        /** Sets the name of this instance, which differs from that of each other instance. */
        public Builder owner(String name) {
            mOwner = name;
            return this;
        }

        /** Sets how many marks are kept, and for how long. */
        public Builder marks(int maximum, long lifetimeNanos) {
            mMaximumMarks = maximum;
            mLifetimeNanos = lifetimeNanos;
            return this;
        }

        /** Sets the largest share of the upstreams that run suspects alone, 0 to 1. */
        public Builder exclusiveShare(double value) {
            mExclusiveShare = value;
            return this;
        }

        /** Sets how many tokens past the point of the death clear a suspect. */
        public Builder clearTokens(long value) {
            mClearTokens = value;
            return this;
        }

        /** Sets how many upstreams of a domain must die within what time for a domain loss. */
        public Builder domainLoss(int upstreams, long windowNanos) {
            mDomainLossUpstreams = upstreams;
            mDomainLossNanos = windowNanos;
            return this;
        }

        /** Returns a quarantine without marks. */
        public Quarantine build() {
            return new Quarantine(this);
        }
    }
}
