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
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Detects requests that crash the upstreams which execute them. Each request that ran on an
 * upstream when it crashed becomes a suspect and then runs alone, so that another crash can be
 * attributed to one request, which is refused after its second crash. A lost connection counts as a
 * crash until the upstream reports again. Not thread-safe: owned by the dispatch duty.
 */
public final class Quarantine {
    /** Maximum delay of a report in transit; an instance drops a silent peer after this time. */
    private static final long REPORT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final int mCrashLimit;
    private final double mExclusiveShare;
    private final long mClearTokens;
    private final long mRetryNanos;
    private final long mRetentionNanos;
    private final MarkStore mMarks;
    private final PartStrikes mPartStrikes;
    private final DomainLossDetector mDomainLosses;
    private final Map<AttemptId, QuarantineRun> mRuns = new LinkedHashMap<>();
    private final Map<UpstreamId, QuarantineRun> mAlone = new HashMap<>();
    private final Map<UpstreamIncarnation, List<QuarantineRun>> mBrokenRuns = new HashMap<>();
    private final Map<UpstreamIncarnation, Long> mPlannedStops = new HashMap<>();
    private final Map<String, Long> mTokensAtCrash = new HashMap<>();
    private final ExclusiveUseTable mExclusiveUses;
    private long mChangeCount;

    Quarantine(QuarantineBuilder builder) {
        mCrashLimit = builder.mCrashLimit;
        mExclusiveShare = builder.mExclusiveShare;
        mClearTokens = builder.mClearTokens;
        mRetryNanos = TimeUnit.MILLISECONDS.toNanos(100);
        mRetentionNanos = TimeUnit.SECONDS.toNanos(15);
        mExclusiveUses = new ExclusiveUseTable(builder.mOwner);
        mMarks = markStore(builder);
        mPartStrikes = new PartStrikes(markStore(builder), builder.mLifetimeNanos);
        mDomainLosses =
                new DomainLossDetector(builder.mDomainLossUpstreams, builder.mDomainLossNanos);
    }

    private MarkStore markStore(QuarantineBuilder builder) {
        return new MarkStore(
                builder.mMaximumMarks,
                builder.mLifetimeNanos,
                Math.min(mRetentionNanos, builder.mLifetimeNanos),
                Math.min(TimeUnit.SECONDS.toNanos(5), builder.mLifetimeNanos / 4));
    }

    /**
     * Returns a builder for a quarantine that refuses requests after 2 crashes, for 15 minutes,
     * with up to 10,000 marks. At most a quarter of the upstreams run suspects alone. The
     * termination of 3 upstreams of a domain within 5 s is a domain loss.
     */
    public static QuarantineBuilder builder() {
        return new QuarantineBuilder();
    }

    /**
     * Decides how a request may run, also by the parts of its prompt that others share. Called
     * before each attempt.
     */
    public QuarantineDecision decide(
            String contentHash, List<String> sharedParts, int liveUpstreams, long nowNanos) {
        int strikes = mPartStrikes.strikesToRefuse(sharedParts, nowNanos);
        return strikes > 0
                ? new QuarantineDecision.Refuse(
                        new RequestFailure.Quarantined(strikes, Executed.NO))
                : decide(contentHash, liveUpstreams, nowNanos);
    }

    /**
     * Decides how a request may run. Called before each attempt.
     *
     * @param contentHash hash of the request's content
     * @param liveUpstreams number of upstreams that could run it
     */
    public QuarantineDecision decide(String contentHash, int liveUpstreams, long nowNanos) {
        int confirmed = mMarks.count(contentHash, SuspicionState.CONFIRMED, nowNanos);
        int provisional = mMarks.count(contentHash, SuspicionState.PROVISIONAL, nowNanos);
        if (confirmed >= mCrashLimit) {
            return new QuarantineDecision.Refuse(
                    new RequestFailure.Quarantined(confirmed, Executed.NO));
        }
        if (confirmed + provisional == 0) {
            return new QuarantineDecision.RunUnrestricted();
        }
        boolean slotAvailable =
                mExclusiveUses.reserved(contentHash, nowNanos)
                        || mAlone.size() + mExclusiveUses.size()
                                < Math.max(1, (long) (liveUpstreams * mExclusiveShare));
        if (!slotAvailable
                || confirmed + provisional >= mCrashLimit
                || mExclusiveUses.elsewhere(contentHash, nowNanos)) {
            return new QuarantineDecision.Wait(nowNanos + mRetryNanos);
        }
        return new QuarantineDecision.RunAlone(mMarks.suspectedUpstreams(contentHash, nowNanos));
    }

    /** Returns whether an upstream is reserved for a suspect and takes no other work. */
    public boolean exclusive(UpstreamId upstream, long nowNanos) {
        return exclusiveUpstreams(nowNanos).contains(upstream);
    }

    /** Returns the upstreams that are reserved for suspects. */
    public Set<UpstreamId> exclusiveUpstreams(long nowNanos) {
        Set<UpstreamId> reserved = mExclusiveUses.upstreams(nowNanos);
        if (mAlone.isEmpty()) {
            return reserved;
        }
        Set<UpstreamId> upstreams = new HashSet<>(reserved);
        upstreams.addAll(mAlone.keySet());
        return upstreams;
    }

    /**
     * Reserves an upstream, so that a suspect can run alone there. Renewed by calling again, at
     * least every 500 ms.
     *
     * @return false if another suspect on this upstream, or the same content on another instance,
     *     takes precedence
     */
    public boolean reserve(String contentHash, UpstreamIncarnation incarnation, long nowNanos) {
        if (mAlone.containsKey(incarnation.upstream()) || runsAlone(contentHash)) {
            return false;
        }
        int before = mExclusiveUses.size();
        boolean reserved = mExclusiveUses.reserve(contentHash, incarnation, nowNanos);
        mChangeCount += mExclusiveUses.size() == before ? 0 : 1;
        return reserved;
    }

    /** Returns a counter of the changes to send to other instances immediately. */
    public long changeCount() {
        return mChangeCount;
    }

    /** Records the start of an attempt that may share its upstream. */
    public void attemptStarted(
            AttemptId attempt,
            String contentHash,
            UpstreamIncarnation incarnation,
            FailureDomain domain) {
        mRuns.put(attempt, new QuarantineRun(contentHash, incarnation, domain, false));
    }

    /** Records the start of a suspect that runs alone on its upstream. */
    public void attemptStartedAlone(
            AttemptId attempt,
            String contentHash,
            UpstreamIncarnation incarnation,
            FailureDomain domain) {
        QuarantineRun run = new QuarantineRun(contentHash, incarnation, domain, true);
        mRuns.put(attempt, run);
        mExclusiveUses.release(incarnation.upstream());
        mAlone.put(incarnation.upstream(), run);
        mChangeCount++;
    }

    /** Records the parts of the prompt of a started attempt that other prompts may share. */
    public void attemptShares(AttemptId attempt, List<String> sharedParts, long nowNanos) {
        QuarantineRun run = mRuns.get(attempt);
        if (run != null) {
            run.mSharedParts = sharedParts;
            run.mStartedNanos = nowNanos;
        }
    }

    /**
     * Records the progress of an attempt. A suspect that runs alone is cleared once it has passed
     * the token count at which the upstream crashed.
     *
     * @param tokens total tokens of the answer so far
     */
    public void attemptProgressed(AttemptId attempt, long tokens) {
        QuarantineRun run = mRuns.get(attempt);
        if (run == null) {
            return;
        }
        run.mTokens = tokens;
        run.mFirstTokens = Math.min(run.mFirstTokens, tokens);
        Long tokensAtCrash = mTokensAtCrash.get(run.mContentHash);
        if (run.mAlone && tokensAtCrash != null && tokens >= tokensAtCrash + mClearTokens) {
            clear(run);
        }
    }

    /**
     * Records a complete answer. A request that ran alone is no longer a suspect, nor are the parts
     * that its prompt shares with others.
     */
    public void attemptFinished(AttemptId attempt, long nowNanos) {
        QuarantineRun run = mRuns.remove(attempt);
        if (run != null && mPartStrikes.answered(run.mSharedParts, nowNanos)) {
            mChangeCount++;
        }
        if (run != null && run.mAlone) {
            clear(run);
        }
    }

    /**
     * Records the end of an attempt that was cancelled or never executed. It does not clear a
     * suspect.
     */
    public void attemptCancelled(AttemptId attempt) {
        endIsolation(mRuns.remove(attempt));
    }

    /** Records a broken attempt. Whether its upstream crashed is often known only later. */
    public void attemptBroken(AttemptId attempt, AttemptEvent.BreakCause how, long nowNanos) {
        QuarantineRun run = mRuns.remove(attempt);
        endIsolation(run);
        if (run == null || planned(run.mIncarnation, nowNanos)) {
            return;
        }
        run.mBrokenNanos = nowNanos;
        switch (how) {
            case CONNECTION_LOST, UPSTREAM_GONE -> {
                remember(run);
                strikeParts(run, SuspicionState.PROVISIONAL, nowNanos);
                if (recordLoss(run.mIncarnation, run.mDomain, nowNanos).isEmpty()) {
                    blame(run, SuspicionState.PROVISIONAL, nowNanos);
                }
            }
            case SILENT -> remember(run);
            case UPSTREAM_ERROR -> {
                // An upstream that answers with an error has not crashed.
            }
        }
    }

    /**
     * Records a message that an incarnation sent after its connections broke, such as a heartbeat
     * or an answer. The lost connections were not a crash.
     */
    public void upstreamAlive(UpstreamIncarnation incarnation) {
        if (mBrokenRuns.remove(incarnation) != null) {
            mMarks.excuse(incarnation);
            mPartStrikes.excuse(incarnation);
            mDomainLosses.remove(incarnation);
        }
    }

    /**
     * Like {@link #upstreamAlive(UpstreamIncarnation)}, but ignores the message if the connections
     * broke so recently that it may have been sent before and relayed by another instance.
     */
    public void upstreamAlive(UpstreamIncarnation incarnation, long nowNanos) {
        List<QuarantineRun> broken = mBrokenRuns.get(incarnation);
        if (broken != null
                && broken.stream()
                        .allMatch(run -> nowNanos - run.mBrokenNanos >= REPORT_DELAY_NANOS)) {
            upstreamAlive(incarnation);
        }
    }

    /**
     * Records the announced shutdown of an upstream. Its termination makes no request a suspect.
     */
    public void upstreamLeaving(UpstreamIncarnation incarnation, long nowNanos) {
        mPlannedStops.put(incarnation, nowNanos);
        mMarks.excuse(incarnation);
        mPartStrikes.excuse(incarnation);
    }

    /**
     * Records the termination of an upstream: a newer incarnation announced itself, or no message
     * arrived for too long.
     */
    public TerminationVerdict upstreamTerminated(
            UpstreamIncarnation incarnation, FailureDomain domain, long nowNanos) {
        List<QuarantineRun> victims =
                new ArrayList<>(mBrokenRuns.getOrDefault(incarnation, List.of()));
        victims.removeIf(run -> nowNanos - run.mBrokenNanos > mRetentionNanos);
        mBrokenRuns.remove(incarnation);
        for (QuarantineRun run : List.copyOf(mRuns.values())) {
            if (run.mIncarnation.equals(incarnation)) {
                run.mBrokenNanos = nowNanos;
                victims.add(run);
                endIsolation(run);
            }
        }
        mRuns.values().removeIf(run -> run.mIncarnation.equals(incarnation));
        if (planned(incarnation, nowNanos)) {
            return new TerminationVerdict.Planned();
        }
        victims.forEach(run -> strikeParts(run, SuspicionState.CONFIRMED, nowNanos));
        List<UpstreamIncarnation> lost = recordLoss(incarnation, domain, nowNanos);
        if (!lost.isEmpty()) {
            return new TerminationVerdict.DomainLoss(domain, lost.size());
        }
        Set<String> hashes = new HashSet<>();
        for (QuarantineRun run : victims) {
            blame(run, SuspicionState.CONFIRMED, nowNanos);
            hashes.add(run.mContentHash);
        }
        return new TerminationVerdict.RequestsSuspected(hashes);
    }

    /** Returns the marks to send to other instances, periodically and on each change. */
    public List<QuarantineMark> marks(long nowNanos) {
        return Stream.concat(
                        mMarks.spread(nowNanos).stream(), mPartStrikes.spread(nowNanos).stream())
                .toList();
    }

    /** Merges a mark received from another instance. */
    public void mergeRemote(QuarantineMark mark, long nowNanos) {
        if (mark.ofPart()) {
            mPartStrikes.absorb(mark, nowNanos);
        } else {
            mMarks.absorb(mark, nowNanos);
        }
    }

    /** Returns the upstreams that this instance uses for suspects, to send frequently. */
    public List<ExclusiveUse> exclusiveUses(long nowNanos) {
        List<ExclusiveUse> uses = new ArrayList<>(mExclusiveUses.own(nowNanos));
        mAlone.values()
                .forEach(
                        run ->
                                uses.add(
                                        mExclusiveUses.use(
                                                run.mContentHash, run.mIncarnation, true)));
        return uses;
    }

    /** Replaces the upstreams that another instance uses or reserves for suspects. */
    public void mergeRemote(String owner, List<ExclusiveUse> uses, long nowNanos) {
        mExclusiveUses.absorb(owner, uses, nowNanos);
    }

    /** Releases the reservation of an upstream. */
    public void release(UpstreamId upstream) {
        mExclusiveUses.release(upstream);
    }

    /** Removes expired state. Called periodically. */
    public void expire(long nowNanos) {
        mMarks.expire(nowNanos);
        mPartStrikes.expire(nowNanos);
        mDomainLosses.expire(nowNanos - 2 * mRetentionNanos);
        mPlannedStops.values().removeIf(time -> nowNanos - time > mRetentionNanos);
        mExclusiveUses.expire(nowNanos);
        mBrokenRuns
                .values()
                .forEach(
                        runs ->
                                runs.removeIf(
                                        run -> nowNanos - run.mBrokenNanos > mRetentionNanos));
        mBrokenRuns.values().removeIf(List::isEmpty);
        mTokensAtCrash
                .keySet()
                .removeIf(hash -> mMarks.suspectedUpstreams(hash, nowNanos).isEmpty());
    }

    /** Returns the number of marks. */
    public int size() {
        return mMarks.size();
    }

    private void remember(QuarantineRun run) {
        mBrokenRuns.computeIfAbsent(run.mIncarnation, key -> new ArrayList<>()).add(run);
    }

    private void blame(QuarantineRun run, SuspicionState state, long nowNanos) {
        mChangeCount++;
        mMarks.blame(run.mContentHash, run.mIncarnation, state, nowNanos);
        mTokensAtCrash.merge(run.mContentHash, run.mTokens, Math::max);
    }

    private void strikeParts(QuarantineRun run, SuspicionState state, long nowNanos) {
        if (run.beginsAnswer(mClearTokens)) {
            mChangeCount++;
            mPartStrikes.strike(run, state, nowNanos);
        }
    }

    private void clear(QuarantineRun run) {
        endIsolation(run);
        mChangeCount++;
        mMarks.excuse(run.mContentHash);
        mTokensAtCrash.remove(run.mContentHash);
    }

    private List<UpstreamIncarnation> recordLoss(
            UpstreamIncarnation incarnation, FailureDomain domain, long nowNanos) {
        List<UpstreamIncarnation> lost = mDomainLosses.add(domain, incarnation, nowNanos);
        lost.forEach(mMarks::excuse);
        return lost;
    }

    private void endIsolation(@Nullable QuarantineRun run) {
        if (run != null && run.mAlone) {
            run.mAlone = false;
            mChangeCount++;
            mAlone.remove(run.mIncarnation.upstream(), run);
        }
    }

    private boolean runsAlone(String contentHash) {
        return mAlone.values().stream().anyMatch(run -> run.mContentHash.equals(contentHash));
    }

    private boolean planned(UpstreamIncarnation incarnation, long nowNanos) {
        Long since = mPlannedStops.get(incarnation);
        return since != null && nowNanos - since <= mRetentionNanos;
    }
}
