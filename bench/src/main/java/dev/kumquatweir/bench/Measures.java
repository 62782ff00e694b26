package dev.kumquatweir.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects what happened in one run. */
final class Measures {
    /** What must never happen. */
    enum Invariant {
        /** An admitted request ended neither by an answer nor by a failure within its time. */
        ENDS_IN_TIME,
        /** Memory stayed reserved after all requests had ended. */
        MEMORY_RETURNS,
        /** A cold engine got more than it bears. */
        COLD_LIMIT,
        /** Work was placed in a failure domain that was out for more than the stated time. */
        DOMAIN_OUT,
        /** A request that may not be repeated was executed twice. */
        AT_MOST_ONCE,
        /** The caller got a token twice, or missed one. */
        TOKENS
    }

    private final List<Outcome> mOutcomes = new ArrayList<>();
    private final Map<Invariant, List<String>> mViolations = new TreeMap<>();
    private final Set<Long> mComputed = new HashSet<>();
    private final Histogram mGaps = new Histogram(3);
    private long mRecomputedTokens;
    private int mCrashes;

    /** Starts the outcome of a request. */
    Outcome begin(Arrival arrival) {
        Outcome outcome = new Outcome(arrival);
        while (mOutcomes.size() <= arrival.id()) {
            mOutcomes.add(outcome);
        }
        mOutcomes.set(arrival.id(), outcome);
        return outcome;
    }

    /** Takes the time between two tokens of an answer as the caller sees them. */
    void gap(long nanos) {
        mGaps.recordValue(nanos);
    }

    /** Takes prompt tokens that an engine has processed. */
    void prefilled(Arrival arrival, long doneTokens, long chunkTokens) {
        int first = (int) (doneTokens / EngineConstants.BLOCK_TOKENS);
        int end = (int) ((doneTokens + chunkTokens) / EngineConstants.BLOCK_TOKENS);
        for (int block = first; block < Math.min(end, arrival.prefixHashes().size()); block++) {
            if (!mComputed.add(arrival.prefixHashes().get(block))) {
                mRecomputedTokens += EngineConstants.BLOCK_TOKENS;
            }
        }
    }

    /** Takes the execution of a call by a plain service. */
    void executed(Arrival arrival) {
        Outcome outcome = mOutcomes.get(arrival.id());
        outcome.mExecutions++;
        if (outcome.mExecutions > 1 && !arrival.profile().repeatable()) {
            violated(Invariant.AT_MOST_ONCE, "r" + arrival.id());
        }
    }

    /** Takes the crash of a cold engine. */
    void crashed() {
        mCrashes++;
    }

    /** Takes a violation. */
    void violated(Invariant invariant, String where) {
        mViolations.computeIfAbsent(invariant, key -> new ArrayList<>()).add(where);
    }

    /** Returns the outcomes in order of arrival. */
    List<Outcome> outcomes() {
        return Collections.unmodifiableList(mOutcomes);
    }

    /** Returns the violations, by invariant. */
    Map<Invariant, List<String>> violations() {
        return mViolations;
    }

    /** Returns the gaps between tokens, in nanoseconds. */
    Histogram gaps() {
        return mGaps;
    }

    /** Returns the prompt tokens that some engine had processed before. */
    long recomputedTokens() {
        return mRecomputedTokens;
    }

    /** Returns the number of crashes of cold engines. */
    int crashes() {
        return mCrashes;
    }
}
