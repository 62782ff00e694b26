package dev.kumquatweir.policy.retry;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Detects open connections that no longer receive data. The time limit between tokens is learned
 * for each upstream, between a floor and a cap; before the first token the prefill time is added.
 * When a connection is silent, sibling connections to the same upstream that have received nothing
 * since then are suspected too. Not thread-safe: owned by one duty.
 */
public final class SilenceDetector {
    private static final double LEARNING_RATE = 0.125;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long mFloorNanos;
    private final long mCapNanos;
    private final double mGapFactor;
    private final double mPrefillFactor;
    private final double mFloorPrefillRate;
    private final Map<UpstreamId, TimingEstimate> mTimings = new HashMap<>();
    private final Map<AttemptId, Stream> mStreams = new LinkedHashMap<>();

    private SilenceDetector(Builder builder) {
        mFloorNanos = builder.mFloorNanos;
        mCapNanos = builder.mCapNanos;
        mGapFactor = builder.mGapFactor;
        mPrefillFactor = builder.mPrefillFactor;
        mFloorPrefillRate = builder.mFloorPrefillRate;
    }

    /**
     * Returns a builder for a detector that allows 8 times the learned token gap, between 500 ms
     * and 5 s, and 3 times the prefill time, computed with at least 1,000 tokens/s.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts monitoring an attempt. Called when it is sent.
     *
     * @param uncachedTokens prompt tokens that the engine has to process, including those queued
     *     ahead
     */
    public void started(
            AttemptId attempt,
            UpstreamId upstream,
            long connection,
            long uncachedTokens,
            long nowNanos) {
        mStreams.put(attempt, new Stream(attempt, upstream, connection, uncachedTokens, nowNanos));
    }

    /** Records that a token or any other data arrived for an attempt. */
    public void tokenReceived(AttemptId attempt, long nowNanos) {
        Stream stream = mStreams.get(attempt);
        if (stream == null) {
            return;
        }
        TimingEstimate pace =
                mTimings.computeIfAbsent(stream.mUpstream, key -> new TimingEstimate());
        long gap = Math.max(0, nowNanos - stream.mLastReceivedNanos);
        if (stream.mDecoding) {
            pace.learnGap(gap);
        } else {
            stream.mFirstTokenNanos = gap;
        }
        stream.mDecoding = true;
        stream.mSuspected = false;
        stream.mLastReceivedNanos += gap;
    }

    /**
     * Stops monitoring an attempt whose answer is complete and learns its prefill rate. This is not
     * possible earlier, since the number of cached prompt tokens is known only at the end, and a
     * rate that includes cached tokens would make the next uncached prompt appear silent.
     *
     * @param cachedTokens prompt tokens that the engine did not process
     */
    public void finished(AttemptId attempt, long cachedTokens) {
        Stream stream = mStreams.remove(attempt);
        if (stream == null) {
            return;
        }
        long processed = stream.mUncachedTokens - cachedTokens;
        if (processed > 0 && stream.mFirstTokenNanos > 0) {
            mTimings.computeIfAbsent(stream.mUpstream, key -> new TimingEstimate())
                    .learnPrefill(processed / (stream.mFirstTokenNanos / NANOS_PER_SECOND));
        }
    }

    /**
     * Compensates for a pause of this process, so that streams whose tokens are still in its
     * receive buffers are not considered silent.
     */
    public void processPaused(long nanos) {
        mStreams.values().forEach(stream -> stream.mLastReceivedNanos += nanos);
    }

    /** Stops monitoring an attempt. */
    public void ended(AttemptId attempt) {
        mStreams.remove(attempt);
    }

    /** Discards the learned timing of an upstream, for example after a restart. */
    public void forget(UpstreamId upstream) {
        mTimings.remove(upstream);
    }

    /**
     * Returns the connections and attempts to drop and the newly suspected attempts. Dropped
     * attempts are no longer monitored.
     */
    public List<SilenceDecision> check(long nowNanos) {
        List<SilenceDecision> decisions = new ArrayList<>();
        Map<UpstreamId, Long> silentSince = new LinkedHashMap<>();
        for (Stream stream : List.copyOf(mStreams.values())) {
            if (mStreams.containsKey(stream.mAttempt) && silent(stream, nowNanos)) {
                if (connectionAlive(stream, nowNanos)) {
                    mStreams.remove(stream.mAttempt);
                    decisions.add(
                            new SilenceDecision.DropAttempt(stream.mUpstream, stream.mAttempt));
                } else {
                    silentSince.merge(
                            stream.mUpstream, stream.mLastReceivedNanos, SilenceDetector::earlier);
                    decisions.add(drop(stream, false));
                }
            }
        }
        silentSince.forEach((upstream, since) -> suspectSiblings(upstream, since, decisions));
        return decisions;
    }

    /** Returns the time without data after which an attempt is considered silent. */
    long boundNanos(UpstreamId upstream, boolean decoding, boolean suspected, long uncachedTokens) {
        TimingEstimate pace = mTimings.getOrDefault(upstream, TimingEstimate.UNKNOWN);
        long learned = (long) (pace.gapBoundNanos() * mGapFactor);
        long gap = pace.mGapKnown ? Math.clamp(learned, mFloorNanos, mCapNanos) : mCapNanos;
        if (decoding) {
            return gap;
        }
        double rate = Math.max(mFloorPrefillRate, pace.mPrefillRate);
        double prefillNanos = uncachedTokens / rate * NANOS_PER_SECOND;
        // Before the first token the cap is used, because the queueing time on the engine is
        // unknown.
        return mCapNanos + (long) (prefillNanos * (suspected ? 1 : mPrefillFactor));
    }

    private boolean silent(Stream stream, long nowNanos) {
        long bound =
                boundNanos(
                        stream.mUpstream,
                        stream.mDecoding,
                        stream.mSuspected,
                        stream.mUncachedTokens);
        return nowNanos - stream.mLastReceivedNanos > bound;
    }

    private boolean connectionAlive(Stream silent, long nowNanos) {
        for (Stream stream : mStreams.values()) {
            if (stream.sameConnection(silent)
                    && stream.mDecoding
                    && stream.mLastReceivedNanos - silent.mLastReceivedNanos > 0
                    && !silent(stream, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Drops or suspects the siblings that received nothing since the silence began. Allows for one
     * learned gap, since streams that stop together received their last tokens at slightly
     * different times. Attempts in prefill are only suspected, so that the work of a long prefill
     * is not lost.
     */
    private void suspectSiblings(
            UpstreamId upstream, long silentSince, List<SilenceDecision> decisions) {
        long slack = (long) mTimings.getOrDefault(upstream, TimingEstimate.UNKNOWN).gapBoundNanos();
        for (Stream stream : List.copyOf(mStreams.values())) {
            boolean receivedNothing =
                    stream.mUpstream.equals(upstream)
                            && stream.mLastReceivedNanos - silentSince <= slack
                            && mStreams.containsKey(stream.mAttempt);
            if (receivedNothing && stream.mDecoding) {
                decisions.add(drop(stream, true));
            } else if (receivedNothing && !stream.mSuspected) {
                stream.mSuspected = true;
                decisions.add(
                        new SilenceDecision.SuspectAttempt(
                                upstream, stream.mConnection, stream.mAttempt));
            }
        }
    }

    private SilenceDecision.DropConnection drop(Stream silent, boolean sibling) {
        Collection<Stream> streams = mStreams.values();
        List<AttemptId> attempts =
                streams.stream()
                        .filter(stream -> stream.sameConnection(silent))
                        .map(stream -> stream.mAttempt)
                        .toList();
        attempts.forEach(mStreams::remove);
        return new SilenceDecision.DropConnection(
                silent.mUpstream, silent.mConnection, attempts, sibling);
    }

    private static long earlier(long first, long second) {
        return first - second < 0 ? first : second;
    }

    private static final class Stream {
        private final AttemptId mAttempt;
        private final UpstreamId mUpstream;
        private final long mConnection;
        private final long mUncachedTokens;
        private long mLastReceivedNanos;
        private long mFirstTokenNanos;
        private boolean mDecoding;
        private boolean mSuspected;

        Stream(
                AttemptId attempt,
                UpstreamId upstream,
                long connection,
                long uncachedTokens,
                long nowNanos) {
            mAttempt = attempt;
            mUpstream = upstream;
            mConnection = connection;
            mUncachedTokens = uncachedTokens;
            mLastReceivedNanos = nowNanos;
        }

        boolean sameConnection(Stream other) {
            return mConnection == other.mConnection && mUpstream.equals(other.mUpstream);
        }
    }

    /** Smoothed token gap and its mean deviation, as in TCP's retransmission timer (RFC 6298). */
    private static final class TimingEstimate {
        private static final TimingEstimate UNKNOWN = new TimingEstimate();

        private double mGapNanos;
        private double mDeviationNanos;
        private boolean mGapKnown;
        private double mPrefillRate;

        void learnGap(long gapNanos) {
            if (!mGapKnown) {
                mGapKnown = true;
                mGapNanos = gapNanos;
                mDeviationNanos = gapNanos / 2.0;
                return;
            }
            double deviation = Math.abs(gapNanos - mGapNanos);
            mDeviationNanos += LEARNING_RATE * (deviation - mDeviationNanos);
            mGapNanos += LEARNING_RATE * (gapNanos - mGapNanos);
        }

        void learnPrefill(double tokensPerSecond) {
            mPrefillRate =
                    mPrefillRate == 0
                            ? tokensPerSecond
                            : mPrefillRate + LEARNING_RATE * (tokensPerSecond - mPrefillRate);
        }

        double gapBoundNanos() {
            return mGapNanos + 4 * mDeviationNanos;
        }
    }

    /** Builds a {@link SilenceDetector}. Not thread-safe. */
    public static final class Builder {
        private long mFloorNanos = TimeUnit.MILLISECONDS.toNanos(500);
        private long mCapNanos = TimeUnit.SECONDS.toNanos(5);
        private double mGapFactor = 8;
        private double mPrefillFactor = 3;
        private double mFloorPrefillRate = 1_000;

        private Builder() {}

        /** Sets the minimum and the maximum time limit between tokens. */
        public Builder gapNanos(long floor, long cap) {
            mFloorNanos = floor;
            mCapNanos = cap;
            return this;
        }

        /** Sets the multiples of the learned token gap and of the prefill time to wait. */
        public Builder factors(double gap, double prefill) {
            mGapFactor = gap;
            mPrefillFactor = prefill;
            return this;
        }

        /** Sets the minimum expected prefill rate, in tokens per second. */
        public Builder floorPrefillRate(double value) {
            mFloorPrefillRate = value;
            return this;
        }

        /** Builds the detector. */
        public SilenceDetector build() {
            return new SilenceDetector(this);
        }
    }
}
