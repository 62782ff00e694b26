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
 * Finds open connections on which nothing arrives any more. The bound on the gap between tokens is
 * learned for each upstream, between a floor and a cap; before the first token the time for the
 * prefill is added. When a connection is silent, siblings that were not heard since it fell silent
 * are in doubt. Not thread-safe: owned by one duty.
 */
public final class SilenceDetector {
    private static final double LEARNING_RATE = 0.125;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final long mFloorNanos;
    private final long mCapNanos;
    private final double mGapFactor;
    private final double mPrefillFactor;
    private final double mFloorPrefillRate;
    private final Map<UpstreamId, Pace> mPaces = new HashMap<>();
    private final Map<AttemptId, Stream> mStreams = new LinkedHashMap<>();

    private SilenceDetector(Builder builder) {
        mFloorNanos = builder.mFloorNanos;
        mCapNanos = builder.mCapNanos;
        mGapFactor = builder.mGapFactor;
        mPrefillFactor = builder.mPrefillFactor;
        mFloorPrefillRate = builder.mFloorPrefillRate;
    }

    /**
     * Starts a detector with a floor of 500 ms and a cap of 5 s between tokens, 8 learned gaps, and
     * 3 times the prefill time at no less than 1,000 tokens/s.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Watches an attempt from the moment it is sent.
     *
     * @param uncachedTokens prompt tokens that the engine has to process, those queued before it
     *     included
     */
    public void started(
            AttemptId attempt,
            UpstreamId upstream,
            long connection,
            long uncachedTokens,
            long nowNanos) {
        mStreams.put(attempt, new Stream(attempt, upstream, connection, uncachedTokens, nowNanos));
    }

    /** Takes the arrival of a token, or of any sign of life on the attempt's connection. */
    public void tokenReceived(AttemptId attempt, long nowNanos) {
        Stream stream = mStreams.get(attempt);
        if (stream == null) {
            return;
        }
        Pace pace = mPaces.computeIfAbsent(stream.mUpstream, key -> new Pace());
        long gap = Math.max(0, nowNanos - stream.mHeardNanos);
        if (stream.mDecoding) {
            pace.learnGap(gap);
        } else {
            stream.mFirstTokenNanos = gap;
        }
        stream.mDecoding = true;
        stream.mDoubtful = false;
        stream.mHeardNanos += gap;
    }

    /**
     * Stops to watch an attempt with a whole answer. Its prefill rate is learned only here: before
     * the end it is not known how much of the prompt the engine had cached, and a rate that counts
     * cached tokens would make the next uncached prompt look silent.
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
            mPaces.computeIfAbsent(stream.mUpstream, key -> new Pace())
                    .learnPrefill(processed / (stream.mFirstTokenNanos / NANOS_PER_SECOND));
        }
    }

    /**
     * Allows for a time in which this process itself did not run, so that streams whose tokens wait
     * in its own buffers are not taken for silent.
     */
    public void processPaused(long nanos) {
        mStreams.values().forEach(stream -> stream.mHeardNanos += nanos);
    }

    /** Stops to watch an attempt. */
    public void ended(AttemptId attempt) {
        mStreams.remove(attempt);
    }

    /** Forgets what was learned of an upstream, for example at a new incarnation. */
    public void forget(UpstreamId upstream) {
        mPaces.remove(upstream);
    }

    /**
     * Returns the connections to drop and the attempts newly in doubt. Dropped attempts are no
     * longer watched.
     */
    public List<SilenceDecision> check(long nowNanos) {
        List<SilenceDecision> decisions = new ArrayList<>();
        Map<UpstreamId, Long> silentSince = new LinkedHashMap<>();
        for (Stream stream : List.copyOf(mStreams.values())) {
            if (mStreams.containsKey(stream.mAttempt) && silent(stream, nowNanos)) {
                if (othersHeard(stream, nowNanos)) {
                    mStreams.remove(stream.mAttempt);
                    decisions.add(
                            new SilenceDecision.DropAttempt(stream.mUpstream, stream.mAttempt));
                } else {
                    silentSince.merge(
                            stream.mUpstream, stream.mHeardNanos, SilenceDetector::earlier);
                    decisions.add(drop(stream, false));
                }
            }
        }
        silentSince.forEach((upstream, since) -> doubtSiblings(upstream, since, decisions));
        return decisions;
    }

    /** Returns the longest gap that is taken for normal on an attempt now. */
    long boundNanos(UpstreamId upstream, boolean decoding, boolean doubtful, long uncachedTokens) {
        Pace pace = mPaces.getOrDefault(upstream, Pace.UNKNOWN);
        long learned = (long) (pace.gapBoundNanos() * mGapFactor);
        long gap = pace.mGapKnown ? Math.clamp(learned, mFloorNanos, mCapNanos) : mCapNanos;
        if (decoding) {
            return gap;
        }
        double rate = Math.max(mFloorPrefillRate, pace.mPrefillRate);
        double prefillNanos = uncachedTokens / rate * NANOS_PER_SECOND;
        // Before the first token the cap is used, as the queue of the engine is not known.
        return mCapNanos + (long) (prefillNanos * (doubtful ? 1 : mPrefillFactor));
    }

    private boolean silent(Stream stream, long nowNanos) {
        long bound =
                boundNanos(
                        stream.mUpstream,
                        stream.mDecoding,
                        stream.mDoubtful,
                        stream.mUncachedTokens);
        return nowNanos - stream.mHeardNanos > bound;
    }

    private boolean othersHeard(Stream silent, long nowNanos) {
        for (Stream stream : mStreams.values()) {
            if (stream.sameConnection(silent)
                    && stream.mDecoding
                    && stream.mHeardNanos - silent.mHeardNanos > 0
                    && !silent(stream, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Siblings heard after the silence began are alive. One learned gap is allowed for, as streams
     * that break off together had their last tokens at slightly different times. A long prefill is
     * not thrown away.
     */
    private void doubtSiblings(
            UpstreamId upstream, long silentSince, List<SilenceDecision> decisions) {
        long slack = (long) mPaces.getOrDefault(upstream, Pace.UNKNOWN).gapBoundNanos();
        for (Stream stream : List.copyOf(mStreams.values())) {
            boolean unheard =
                    stream.mUpstream.equals(upstream)
                            && stream.mHeardNanos - silentSince <= slack
                            && mStreams.containsKey(stream.mAttempt);
            if (unheard && stream.mDecoding) {
                decisions.add(drop(stream, true));
            } else if (unheard && !stream.mDoubtful) {
                stream.mDoubtful = true;
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
        private long mHeardNanos;
        private long mFirstTokenNanos;
        private boolean mDecoding;
        private boolean mDoubtful;

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
            mHeardNanos = nowNanos;
        }

        boolean sameConnection(Stream other) {
            return mConnection == other.mConnection && mUpstream.equals(other.mUpstream);
        }
    }

    /** Smoothed gap with its mean deviation, as in TCP's retransmission timer (RFC 6298). */
    private static final class Pace {
        private static final Pace UNKNOWN = new Pace();

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

        /** Sets the least and the largest gap between tokens that is taken for silence. */
        public Builder gapNanos(long floor, long cap) {
            mFloorNanos = floor;
            mCapNanos = cap;
            return this;
        }

        /** Sets how many learned gaps, and how many prefill times, are waited for. */
        public Builder factors(double gap, double prefill) {
            mGapFactor = gap;
            mPrefillFactor = prefill;
            return this;
        }

        /** Sets the slowest prefill that is expected, in tokens per second. */
        public Builder floorPrefillRate(double value) {
            mFloorPrefillRate = value;
            return this;
        }

        /** Returns the detector. */
        public SilenceDetector build() {
            return new SilenceDetector(this);
        }
    }
}
