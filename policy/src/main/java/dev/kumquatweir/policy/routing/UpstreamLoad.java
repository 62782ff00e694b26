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
 * This instance's estimate of the load of one upstream: the last report, corrected by the requests
 * that the instance has placed and ended since. Not thread-safe: owned by the dispatch duty.
 */
public final class UpstreamLoad {
    /** Assumed age of a load report on arrival. */
    static final long REPORT_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<AttemptId, AttemptReservation> mReservations = new LinkedHashMap<>();
    private final LearnedRates mRates = new LearnedRates();
    private UpstreamState mState;
    private int mEndedRunning;
    private long mEndedMemoryTokens;
    private long mAvoidUntilNanos = Long.MIN_VALUE;
    private boolean mLeaving;
    private boolean mColdRefused;
    private long mRefusedMemoryTokens = Long.MAX_VALUE;
    private int mRampLimit = Integer.MAX_VALUE;

    /** Creates the load of an upstream that was just announced. */
    public UpstreamLoad(UpstreamState state) {
        mState = state;
    }

    /**
     * Applies a newer state. A new load report resets the corrections, since it already includes
     * them.
     */
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

    /** Adds a reservation for work of this instance on the upstream. */
    public void addReservation(AttemptReservation hold) {
        mReservations.put(hold.attempt(), hold);
    }

    /** Releases the reservation of an attempt. Does nothing if it has none. */
    public void releaseReservation(AttemptId attempt) {
        AttemptReservation hold = mReservations.remove(attempt);
        if (hold != null && !afterReport(hold)) {
            mEndedRunning++;
            mEndedMemoryTokens += hold.memoryTokens();
        }
    }

    /** Returns the reservation of an attempt, or null if it has none. */
    public @Nullable AttemptReservation findReservation(AttemptId attempt) {
        return mReservations.get(attempt);
    }

    /** Returns the reservations of this instance, oldest first. */
    public Collection<AttemptReservation> reservations() {
        return mReservations.values();
    }

    /**
     * Returns the reservations that exceed a number of requests or of pending prompt tokens, newest
     * first.
     */
    public List<AttemptReservation> reservationsBeyond(int requests, long prefillTokens) {
        List<AttemptReservation> surplus = new ArrayList<>();
        int count = 0;
        long tokens = 0;
        for (AttemptReservation hold : mReservations.values()) {
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

    /** Returns the latest state. */
    public UpstreamState state() {
        return mState;
    }

    /** Returns the learned rates. */
    public LearnedRates rates() {
        return mRates;
    }

    /** Returns the estimated number of requests that are running or queued. */
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
        long reserved = 0;
        for (AttemptReservation hold : mReservations.values()) {
            reserved += hold.memoryTokens();
            placed += afterReport(hold) ? hold.memoryTokens() : 0;
        }
        return Math.max(reserved, Math.max(0, reported) + placed);
    }

    /**
     * Returns the estimated number of queued prompt tokens, less those processed since the report.
     */
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
        for (AttemptReservation hold : mReservations.values()) {
            reported += afterReport(hold) ? hold.pendingTokens() : 0;
        }
        return reported;
    }

    /**
     * Returns the pending prompt tokens of those attempts of this instance that have at most the
     * given number each. Engines process shorter prompts first.
     */
    public long ownBacklogTokens(long maximumTokens) {
        long tokens = 0;
        for (AttemptReservation hold : mReservations.values()) {
            tokens += hold.pendingTokens() <= maximumTokens ? hold.pendingTokens() : 0;
        }
        return tokens;
    }

    /** Returns the pending prompt tokens of all attempts of this instance. */
    public long ownBacklogTokens() {
        long tokens = 0;
        for (AttemptReservation hold : mReservations.values()) {
            tokens += hold.pendingTokens();
        }
        return tokens;
    }

    /**
     * Returns whether the upstream is cold, by its own state or by a refusal since its last report.
     */
    public boolean cold() {
        return mColdRefused || mState.cold();
    }

    /**
     * Returns whether the upstream may get new work: its last message is recent, it is not leaving
     * and it is not being avoided.
     */
    public boolean usable(long nowNanos) {
        return !mLeaving
                && nowNanos - mState.lastSeenNanos() < UpstreamRegistry.SUSPECT_TIMEOUT_NANOS
                && nowNanos >= mAvoidUntilNanos;
    }

    /** Returns whether the last message of the upstream is too old to consider it alive. */
    public boolean suspected(long nowNanos) {
        return nowNanos - mState.lastSeenNanos() >= UpstreamRegistry.SUSPECT_TIMEOUT_NANOS;
    }

    /** Returns whether the upstream is leaving or suspected of having failed. */
    public boolean unavailable(long nowNanos) {
        return mLeaving || suspected(nowNanos);
    }

    /** Gives the upstream no new work before a time. */
    public void avoidUntil(long untilNanos) {
        mAvoidUntilNanos = Math.max(mAvoidUntilNanos, untilNanos);
    }

    /** Marks the upstream as leaving; it gets no further work. */
    public void markLeaving() {
        mLeaving = true;
    }

    /** Treats the upstream as cold until its next report. */
    public void recordColdRefusal() {
        mColdRefused = true;
    }

    /**
     * Records that the engine refused this many tokens for lack of memory. Applies until its next
     * report.
     */
    public void recordMemoryRefusal(long tokens) {
        mRefusedMemoryTokens = Math.min(mRefusedMemoryTokens, tokens);
    }

    /**
     * Returns whether the engine has enough free memory, by its report, this instance's
     * reservations and refusals since the report.
     */
    boolean fits(long tokens) {
        return tokens < mRefusedMemoryTokens
                && memoryUsedTokens() + tokens <= mState.announcement().memoryTokens();
    }

    /**
     * Starts slow start: limits the requests of this instance here. The limit grows with each
     * timely first token.
     */
    public void startRamp(int requests) {
        mRampLimit = Math.max(1, requests);
    }

    /**
     * Raises the slow-start limit after a timely first token, and removes it once it reaches the
     * capacity of the upstream.
     */
    public void raiseRampLimit() {
        if (mRampLimit < mState.announcement().maximumRunning()) {
            mRampLimit++;
        } else {
            mRampLimit = Integer.MAX_VALUE;
        }
    }

    /**
     * Returns the slow-start limit on concurrent requests of this instance, {@code
     * Integer.MAX_VALUE} if none.
     */
    public int rampLimit() {
        return mRampLimit;
    }

    private int placedSinceReport() {
        int count = 0;
        for (AttemptReservation hold : mReservations.values()) {
            count += afterReport(hold) ? 1 : 0;
        }
        return count;
    }

    private boolean afterReport(AttemptReservation hold) {
        return mState.load() == null
                || hold.placedNanos() > mState.loadReceivedNanos() - REPORT_LAG_NANOS;
    }
}
