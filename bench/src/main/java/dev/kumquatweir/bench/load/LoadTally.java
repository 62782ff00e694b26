package dev.kumquatweir.bench.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongPredicate;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/** Counts what happens in a run. Thread-safe. */
final class LoadTally implements AnswerVerifier.OtherAnswers {
    private static final int MOST_EXAMPLES = 50;

    /** Each search compares with all answers of the run, which is slow. */
    private static final int MOST_SEARCHES = 1_000;

    final LongAdder mChats = new LongAdder();
    final LongAdder mCompleted = new LongAdder();
    final LongAdder mRefused = new LongAdder();
    final LongAdder mFailed = new LongAdder();
    final LongAdder mInterrupted = new LongAdder();
    final LongAdder mResent = new LongAdder();
    final LongAdder mActions = new LongAdder();
    final LongAdder mConfirmed = new LongAdder();
    final LongAdder mNotRun = new LongAdder();
    final LongAdder mUnknown = new LongAdder();
    final LongAdder mTokens = new LongAdder();
    final LatencyRecorder mSendLag = new LatencyRecorder();
    final LatencyRecorder mBetweenTokens = new LatencyRecorder();
    private final AtomicLong mInFlight = new AtomicLong();
    private final AtomicLong mMostInFlight = new AtomicLong();
    private final AtomicInteger mSearches = new AtomicInteger();
    private final Set<Long> mSeeds = ConcurrentHashMap.newKeySet();
    private final Map<String, LatencyRecorder> mFirstToken = new ConcurrentHashMap<>();
    private final Map<String, LatencyRecorder> mTotal = new ConcurrentHashMap<>();
    private final Map<String, Long> mErrors = new TreeMap<>();
    private final Map<Violation, Long> mViolations = new TreeMap<>();
    private final List<String> mExamples = new ArrayList<>();

    void register(long seed) {
        mSeeds.add(seed);
    }

    @Override
    public boolean anyMatch(long seed, LongPredicate fits) {
        return mSearches.incrementAndGet() <= MOST_SEARCHES
                && mSeeds.stream().anyMatch(other -> other != seed && fits.test(other));
    }

    void streamStarted() {
        long now = mInFlight.incrementAndGet();
        mMostInFlight.accumulateAndGet(now, Math::max);
    }

    void streamEnded() {
        mInFlight.decrementAndGet();
    }

    void firstToken(LengthClass lengthClass, long nanos) {
        mFirstToken
                .computeIfAbsent(lengthClass.name(), name -> new LatencyRecorder())
                .recordNanos(nanos);
    }

    void total(LengthClass lengthClass, long nanos) {
        mTotal.computeIfAbsent(lengthClass.name(), name -> new LatencyRecorder())
                .recordNanos(nanos);
    }

    synchronized void error(ErrorAnswer error) {
        mErrors.merge(error.type(), 1L, Long::sum);
    }

    synchronized void violation(Violation violation, String call) {
        mViolations.merge(violation, 1L, Long::sum);
        if (mExamples.size() < MOST_EXAMPLES) {
            mExamples.add(violation.wireName() + " call=" + call);
        }
    }

    synchronized String progress() {
        return "progress chats=%d completed=%d in_flight=%d refused=%d failed=%d tokens=%d"
                        .formatted(
                                mChats.sum(),
                                mCompleted.sum(),
                                mInFlight.get(),
                                mRefused.sum(),
                                mFailed.sum(),
                                mTokens.sum())
                + " actions=%d confirmed=%d violations=%d"
                        .formatted(
                                mActions.sum(),
                                mConfirmed.sum(),
                                mViolations.values().stream().mapToLong(Long::longValue).sum());
    }

    synchronized LoadReport report(LoadSettings settings, long durationMillis) {
        return new LoadReport(
                durationMillis,
                mChats.sum(),
                mCompleted.sum(),
                mRefused.sum(),
                mFailed.sum(),
                mInterrupted.sum(),
                mResent.sum(),
                mActions.sum(),
                mConfirmed.sum(),
                mNotRun.sum(),
                mUnknown.sum(),
                mTokens.sum(),
                mMostInFlight.get(),
                new LinkedHashMap<>(mErrors),
                new LinkedHashMap<>(mViolations),
                mExamples,
                LatencySummary.of(mSendLag.snapshot()),
                LatencySummary.of(mBetweenTokens.snapshot()),
                settings.lengthClasses().stream()
                        .map(lengthClass -> classReport(lengthClass, settings.baselineMillis()))
                        .toList());
    }

    private LoadReport.ClassReport classReport(LengthClass lengthClass, long baselineMillis) {
        LatencySummary total = LatencySummary.of(histogram(mTotal, lengthClass));
        double baseline = baselineMillis > 0 ? baselineMillis : total.least();
        boolean measured = lengthClass.measuresSlowdown() && total.count() > 0 && baseline > 0;
        @Nullable LatencySummary slowdown = measured ? total.dividedBy(baseline) : null;
        return new LoadReport.ClassReport(
                lengthClass.name(),
                LatencySummary.of(histogram(mFirstToken, lengthClass)),
                total,
                slowdown);
    }

    private static Histogram histogram(
            Map<String, LatencyRecorder> recorders, LengthClass lengthClass) {
        return recorders.getOrDefault(lengthClass.name(), new LatencyRecorder()).snapshot();
    }
}
