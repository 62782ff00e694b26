package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRegistry;
import dev.kumquatweir.policy.registry.UpstreamState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * What this instance knows of the load of one upstream: the last report, corrected by what the
 * instance itself placed and ended since. Not thread-safe: owned by the dispatch duty.
 */
public final class UpstreamLoad {
    /** Age that a load report is assumed to have when it arrives. */
    static final long REPORT_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<AttemptId, AttemptReservation> mHolds = new LinkedHashMap<>();
    private final LearnedRates mRates = new LearnedRates();
    private UpstreamState mState;
    private int mEndedRunning;
    private long mEndedMemoryTokens;
    private long mAvoidUntilNanos = Long.MIN_VALUE;
    private boolean mLeaving;
    private boolean mColdRefused;
    private long mRefusedMemoryTokens = Long.MAX_VALUE;
    private int mRampLimit = Integer.MAX_VALUE;

    /** Makes the load of an upstream that was just announced. */
    public UpstreamLoad(UpstreamState state) {
        mState = state;
    }

    /** Takes a newer state. A new report clears the corrections that it includes by itself. */
    void update(UpstreamState state) {
        boolean newReport = state.load() != null && !state.load().equals(mState.load());
        mState = state;
        if (newReport) {
            mEndedRunning = 0;
            mEndedMemoryTokens = 0;
            mColdRefused = false;
            mRefusedMemoryTokens = Long.MAX_VALUE;
        }
    }

    /** Notes work of this instance on the upstream. */
    public void addReservation(AttemptReservation hold) {
        mHolds.put(hold.attempt(), hold);
    }

    /** Ends the hold of an attempt. Does nothing if it has none. */
    public void releaseReservation(AttemptId attempt) {
        AttemptReservation hold = mHolds.remove(attempt);
        if (hold != null && !afterReport(hold)) {
            mEndedRunning++;
            mEndedMemoryTokens += hold.memoryTokens();
        }
    }

    /** Returns the hold of an attempt, null if it has none. */
    public @Nullable AttemptReservation findReservation(AttemptId attempt) {
        return mHolds.get(attempt);
    }

    /** Returns what this instance holds here, oldest first. */
    public Collection<AttemptReservation> reservations() {
        return mHolds.values();
    }

    /** Returns the holds beyond a number of requests and of unprocessed tokens, newest first. */
    public List<AttemptReservation> reservationsBeyond(int requests, long prefillTokens) {
        List<AttemptReservation> surplus = new ArrayList<>();
        int count = 0;
        long tokens = 0;
        for (AttemptReservation hold : mHolds.values()) {
            count++;
            tokens += hold.pendingTokens();
            if (count > requests || tokens > prefillTokens) {
                surplus.add(hold);
                tokens -= hold.pendingTokens();
                count--;
            }
        }
        return surplus.reversed();
    }

    /** Returns the newest state. */
    public UpstreamState state() {
        return mState;
    }

    /** Returns the learned rates. */
    public LearnedRates rates() {
        return mRates;
    }

    /** Returns the estimated number of requests in the batch and waiting. */
    public int running() {
        LoadReport load = mState.load();
        int reported = load == null ? 0 : load.running() + load.queued() - mEndedRunning;
        return Math.max(0, reported) + placedSinceReport();
    }

    /** Returns the estimated memory in use, in tokens. Reserved memory counts as used. */
    public long memoryUsedTokens() {
        LoadReport load = mState.load();
        long reported = load == null ? 0 : load.memoryUsedTokens() - mEndedMemoryTokens;
        long placed = 0;
        long held = 0;
        for (AttemptReservation hold : mHolds.values()) {
            held += hold.memoryTokens();
            placed += afterReport(hold) ? hold.memoryTokens() : 0;
        }
        return Math.max(held, Math.max(0, reported) + placed);
    }

    /** Returns the estimated prompt tokens waiting, with what was processed since the report. */
    public long backlogTokens(long nowNanos) {
        LoadReport load = mState.load();
        long reported = 0;
        if (load != null) {
            long age = nowNanos - mState.loadReceivedNanos() + REPORT_LAG_NANOS;
            reported =
                    Math.max(
                            0,
                            load.prefillBacklogTokens()
                                    - (long) (age / mRates.prefillNanos(LengthClass.LONG)));
        }
        for (AttemptReservation hold : mHolds.values()) {
            reported += afterReport(hold) ? hold.pendingTokens() : 0;
        }
        return reported;
    }

    /**
     * Returns the prompt tokens that this instance placed, that still wait, and that belong to
     * attempts with at most so many tokens each. Engines process shorter prompts first.
     */
    public long ownBacklogTokens(long mostTokens) {
        long tokens = 0;
        for (AttemptReservation hold : mHolds.values()) {
            tokens += hold.pendingTokens() <= mostTokens ? hold.pendingTokens() : 0;
        }
        return tokens;
    }

    /** Returns all prompt tokens that this instance placed and that still wait. */
    public long ownBacklogTokens() {
        long tokens = 0;
        for (AttemptReservation hold : mHolds.values()) {
            tokens += hold.pendingTokens();
        }
        return tokens;
    }

    /** Returns whether the upstream is cold by its own word or by a refusal since. */
    public boolean cold() {
        return mColdRefused || mState.cold();
    }

    /** Returns whether the upstream was heard of recently, is not leaving and is not avoided. */
    public boolean usable(long nowNanos) {
        return !mLeaving
                && nowNanos - mState.lastSeenNanos() < UpstreamRegistry.SUSPECT_TIMEOUT_NANOS
                && nowNanos >= mAvoidUntilNanos;
    }

    /** Returns whether nothing was heard of the upstream recently. */
    public boolean suspected(long nowNanos) {
        return nowNanos - mState.lastSeenNanos() >= UpstreamRegistry.SUSPECT_TIMEOUT_NANOS;
    }

    /** Returns whether the upstream leaves or nothing was heard of it recently. */
    public boolean unavailable(long nowNanos) {
        return mLeaving || suspected(nowNanos);
    }

    /** Gives the upstream no new work until a time. */
    public void avoidUntil(long untilNanos) {
        mAvoidUntilNanos = Math.max(mAvoidUntilNanos, untilNanos);
    }

    /** Gives the upstream no new work any more. */
    public void markLeaving() {
        mLeaving = true;
    }

    /** Treats the upstream as cold until its next report. */
    public void recordColdRefusal() {
        mColdRefused = true;
    }

    /** Notes that the engine had no memory for so many tokens; holds until its next report. */
    public void recordMemoryRefusal(long tokens) {
        mRefusedMemoryTokens = Math.min(mRefusedMemoryTokens, tokens);
    }

    /** Returns whether the engine has memory by its report, own reservations and refusals. */
    boolean fits(long tokens) {
        return tokens < mRefusedMemoryTokens
                && memoryUsedTokens() + tokens <= mState.announcement().memoryTokens();
    }

    /** Limits the requests of this instance here; the limit then grows with each first token. */
    public void startRamp(int requests) {
        mRampLimit = Math.max(1, requests);
    }

    /** Takes a first token that came in its time as evidence that the upstream bears more. */
    public void raiseRampLimit() {
        if (mRampLimit < mState.announcement().maximumRunning()) {
            mRampLimit++;
        } else {
            mRampLimit = Integer.MAX_VALUE;
        }
    }

    /** Returns how many requests of this instance the upstream may run at once by its ramp. */
    public int rampLimit() {
        return mRampLimit;
    }

    private int placedSinceReport() {
        int count = 0;
        for (AttemptReservation hold : mHolds.values()) {
            count += afterReport(hold) ? 1 : 0;
        }
        return count;
    }

    private boolean afterReport(AttemptReservation hold) {
        return mState.load() == null
                || hold.placedNanos() > mState.loadReceivedNanos() - REPORT_LAG_NANOS;
    }
}
