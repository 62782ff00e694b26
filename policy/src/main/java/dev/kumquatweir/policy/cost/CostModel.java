package dev.kumquatweir.policy.cost;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Learns the output length of generations and the work time of calls from their answers, by
 * subject, team and route. For load in which requests that look alike cost up to twenty times as
 * much as each other, in which costs change in the middle of a day, or in which one subject is
 * several times as expensive. Not thread-safe.
 *
 * <p>An estimate uses the finest level with enough answers. A caller's own estimate is corrected by
 * what its team's estimates were worth, and used if its error is smaller than the spread of the
 * level.
 */
public final class CostModel {
    /** Number of answers from which on a level is used. */
    private static final int MINIMUM_ANSWERS = 8;

    /** Bounds the memory to about 6 MB; the sketch that was not used for longest is removed. */
    private static final int MAXIMUM_SKETCHES = 2_000;

    /** Resolution of recorded ratios. */
    private static final double RATIO_SCALE = 100;

    private static final double LOW = 0.1;
    private static final double HIGH = 0.9;
    private static final double MEDIAN = 0.5;

    private final Map<String, DecayingSketch> mSketches =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, DecayingSketch> eldest) {
                    return size() > MAXIMUM_SKETCHES;
                }
            };
    private Optional<DecayingSketch> mError = Optional.empty();

    /** Records the output of a complete answer. */
    public void recordOutput(CostOrigin origin, long outputTokens, long nowNanos) {
        double expected = Math.max(1, expectedTokens(origin));
        if (mError.isEmpty()) {
            mError = Optional.of(new DecayingSketch(nowNanos));
        }
        mError.get().record((long) (RATIO_SCALE * outputTokens / expected), nowNanos);
        record("output", origin, outputTokens, nowNanos);
        if (origin.hintTokens() > 0) {
            long ratio = (long) (RATIO_SCALE * outputTokens / origin.hintTokens());
            sketch(hintKey(origin), nowNanos).record(ratio, nowNanos);
        }
    }

    /** Records the time that an upstream took for a call of a plain service. */
    public void recordMillis(CostOrigin origin, long millis, long nowNanos) {
        record("millis", origin, millis, nowNanos);
    }

    /** Returns the expected output in tokens, at most the limit of the caller. */
    public long expectedTokens(CostOrigin origin) {
        Optional<DecayingSketch> level = level("output", origin);
        Optional<DecayingSketch> hint = trustedHint(origin, level);
        double tokens =
                hint.map(ratios -> origin.hintTokens() * ratios.mean() / RATIO_SCALE)
                        .or(() -> level.map(DecayingSketch::mean))
                        .orElse((double) origin.publishedTokens());
        return limited(tokens, origin);
    }

    /**
     * Returns the output in tokens that the answer does not exceed with a probability, at most the
     * limit of the caller. While little is known it is the limit, or the published expectation if
     * there is none.
     *
     * @param confidence the probability, 0 to 1
     */
    public long outputTokensAt(CostOrigin origin, double confidence) {
        Optional<DecayingSketch> level = level("output", origin);
        Optional<DecayingSketch> hint = trustedHint(origin, level);
        double unknown = Math.max(origin.publishedTokens(), origin.limitTokens());
        double tokens =
                hint.map(ratios -> atQuantile(origin, ratios, confidence))
                        .or(() -> level.map(known -> known.quantile(confidence)))
                        .orElse(unknown);
        return limited(tokens, origin);
    }

    /** Returns the expected time of a call of a plain service, empty while little is known. */
    public OptionalDouble expectedMillis(String route, String team) {
        CostOrigin origin = new CostOrigin(route, team, "", 0, 0, 0);
        return level("millis", origin)
                .map(known -> OptionalDouble.of(known.mean()))
                .orElse(OptionalDouble.empty());
    }

    /**
     * Returns the ratio of the output to its estimate that a share of the answers does not exceed,
     * empty while little is known.
     */
    public OptionalDouble errorRatio(double share) {
        return mError.filter(error -> error.count() >= MINIMUM_ANSWERS)
                .map(error -> OptionalDouble.of(error.quantile(share) / RATIO_SCALE))
                .orElse(OptionalDouble.empty());
    }

    /** Returns how well the output of answers was estimated lately. */
    public CostAccuracy accuracy() {
        return new CostAccuracy(percent(MEDIAN), percent(HIGH), mSketches.size());
    }

    private int percent(double share) {
        return (int) Math.round(RATIO_SCALE * errorRatio(share).orElse(0));
    }

    /** Returns the number of distributions that are held. */
    public int sketchCount() {
        return mSketches.size();
    }

    private void record(String measure, CostOrigin origin, long value, long nowNanos) {
        sketch(routeKey(measure, origin), nowNanos).record(value, nowNanos);
        if (!origin.team().isEmpty()) {
            sketch(teamKey(measure, origin), nowNanos).record(value, nowNanos);
        }
        if (!origin.subject().isEmpty()) {
            sketch(subjectKey(measure, origin), nowNanos).record(value, nowNanos);
        }
    }

    private DecayingSketch sketch(String key, long nowNanos) {
        return mSketches.computeIfAbsent(key, missing -> new DecayingSketch(nowNanos));
    }

    private Optional<DecayingSketch> level(String measure, CostOrigin origin) {
        return known(subjectKey(measure, origin))
                .or(() -> known(teamKey(measure, origin)))
                .or(() -> known(routeKey(measure, origin)));
    }

    private Optional<DecayingSketch> known(String key) {
        return Optional.ofNullable(mSketches.get(key))
                .filter(sketch -> sketch.count() >= MINIMUM_ANSWERS);
    }

    /** Returns the ratios of output to hint if they vary less than the outputs of the level. */
    private Optional<DecayingSketch> trustedHint(
            CostOrigin origin, Optional<DecayingSketch> level) {
        if (origin.hintTokens() <= 0) {
            return Optional.empty();
        }
        return known(hintKey(origin))
                .filter(ratios -> level.isEmpty() || spread(ratios) < spread(level.get()));
    }

    private static double atQuantile(CostOrigin origin, DecayingSketch ratios, double confidence) {
        return origin.hintTokens() * ratios.quantile(confidence) / RATIO_SCALE;
    }

    private static double spread(DecayingSketch sketch) {
        double median = Math.max(1, sketch.quantile(MEDIAN));
        return (sketch.quantile(HIGH) - sketch.quantile(LOW)) / median;
    }

    private static long limited(double tokens, CostOrigin origin) {
        long rounded = Math.max(1, Math.round(tokens));
        return origin.limitTokens() > 0 ? Math.min(origin.limitTokens(), rounded) : rounded;
    }

    private static String routeKey(String measure, CostOrigin origin) {
        return measure + "/route/" + origin.route();
    }

    private static String teamKey(String measure, CostOrigin origin) {
        return measure + "/team/" + origin.route() + "/" + origin.team();
    }

    private static String subjectKey(String measure, CostOrigin origin) {
        return measure + "/subject/" + origin.route() + "/" + origin.subject();
    }

    private static String hintKey(CostOrigin origin) {
        return "hint/" + origin.team();
    }
}
