package dev.kumquatweir.bench;

import dev.kumquatweir.core.configuration.RequestClass;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Figures of one run. Immutable once the run has ended.
 *
 * @param schedule what was run
 * @param policy name of the policy
 * @param measures what happened
 */
record Report(Schedule schedule, String policy, Measures measures) {
    /** Longest prompt whose prefill fits the bound on the time to first token, in tokens. */
    static final long PROMPT_TOKENS_WITHIN_BOUND = 16_000;

    /** Bound on the time to first token. */
    static final double FIRST_TOKEN_MILLIS = 860;

    /** Returns the share of requests of a kind that ended in time; 1 if there is none. */
    double inTimeShare(Predicate<Outcome> kind) {
        List<Outcome> chosen = select(kind);
        long good = chosen.stream().filter(Outcome::inTime).count();
        return chosen.isEmpty() ? 1 : (double) good / chosen.size();
    }

    /** Returns a quantile of the time to first token in milliseconds, over answered requests. */
    double firstTokenMillis(Predicate<Outcome> kind, double quantile) {
        return quantile(kind.and(Report::answered), quantile, Report::firstTokenMillis);
    }

    /** Returns a quantile of the time to first token as a multiple of the idle engine's. */
    double firstTokenRatio(Predicate<Outcome> kind, double quantile) {
        return quantile(
                kind.and(Report::answered),
                quantile,
                outcome ->
                        firstTokenMillis(outcome)
                                * TimeUnit.MILLISECONDS.toNanos(1)
                                / EngineConstants.idlePrefillNanos(
                                        outcome.mArrival.promptTokens(), 0));
    }

    /** Returns a quantile of the mean time between the tokens of an answer, in milliseconds. */
    double gapMillis(Predicate<Outcome> kind, double quantile) {
        return quantile(
                kind.and(Outcome::inTime).and(outcome -> outcome.mTokens > 1),
                quantile,
                outcome ->
                        (outcome.mLastTokenNanos - outcome.mFirstTokenNanos)
                                / (double) (outcome.mTokens - 1)
                                / TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Returns a quantile of the whole time as a multiple of that on an empty, warm system. */
    double slowdown(Predicate<Outcome> kind, double quantile) {
        long callers = 2 * schedule.deployment().callerNanos();
        long upstream = 2 * Deployment.SAME_DOMAIN_NANOS;
        return quantile(
                kind.and(Outcome::inTime),
                quantile,
                outcome -> {
                    double taken = outcome.mFinishedNanos - outcome.mArrival.atNanos();
                    double idle = outcome.mArrival.idleNanos() + upstream;
                    return (taken + callers / 2.0) / (idle + callers);
                });
    }

    /** Returns the tokens per second of requests that ended in time while others arrived. */
    double goodputTokensPerSecond() {
        long tokens =
                measures.outcomes().stream()
                        .filter(Outcome::inTime)
                        .filter(outcome -> outcome.mFinishedNanos <= schedule.nanos())
                        .mapToLong(outcome -> outcome.mArrival.workTokens())
                        .sum();
        return tokens * (double) TimeUnit.SECONDS.toNanos(1) / schedule.nanos();
    }

    /**
     * Returns the share of requests that arrived in a time, ended in time and, where the prefill
     * fits the bound, had their first token within it.
     */
    double servedWellShare(long fromNanos, long toNanos) {
        List<Outcome> chosen = select(arrived(fromNanos, toNanos));
        long good =
                chosen.stream()
                        .filter(Outcome::inTime)
                        .filter(
                                outcome ->
                                        !fitsBound(outcome)
                                                || firstTokenMillis(outcome) <= FIRST_TOKEN_MILLIS)
                        .count();
        return chosen.isEmpty() ? 1 : (double) good / chosen.size();
    }

    /** Returns the number of admitted requests of a kind that ended with a failure. */
    long lost(Predicate<Outcome> kind) {
        return select(kind.and(outcome -> outcome.mAdmitted && !outcome.inTime())).size();
    }

    /** Returns the number of requests of a kind that were refused at admission. */
    long refused(Predicate<Outcome> kind) {
        return select(kind.and(outcome -> !outcome.mAdmitted)).size();
    }

    /** Returns the number of violations of all invariants. */
    int violations() {
        return measures.violations().values().stream().mapToInt(List::size).sum();
    }

    /** Selects short questions. */
    static boolean isShort(Outcome outcome) {
        return outcome.mArrival.profile().requestClass() == RequestClass.SHORT;
    }

    /** Selects summaries and dossiers. */
    static boolean isDocument(Outcome outcome) {
        return outcome.mArrival.profile().requestClass() == RequestClass.LONG;
    }

    /** Selects prompts whose prefill fits the bound on the time to first token. */
    static boolean fitsBound(Outcome outcome) {
        return outcome.mArrival.model() != null
                && outcome.mArrival.promptTokens() <= PROMPT_TOKENS_WITHIN_BOUND;
    }

    /** Selects prompts by length, in tokens: more than the first, at most the second. */
    static Predicate<Outcome> length(long above, long most) {
        return outcome ->
                outcome.mArrival.promptTokens() > above && outcome.mArrival.promptTokens() <= most;
    }

    /** Selects requests that arrived between two times. */
    static Predicate<Outcome> arrived(long fromNanos, long toNanos) {
        return outcome ->
                outcome.mArrival.atNanos() >= fromNanos && outcome.mArrival.atNanos() < toNanos;
    }

    private static boolean answered(Outcome outcome) {
        return outcome.mFirstTokenNanos >= 0;
    }

    private static double firstTokenMillis(Outcome outcome) {
        return (outcome.mFirstTokenNanos - outcome.mArrival.atNanos())
                / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    private List<Outcome> select(Predicate<Outcome> kind) {
        return measures.outcomes().stream()
                .filter(kind)
                .sorted(Comparator.comparingInt(outcome -> outcome.mArrival.id()))
                .toList();
    }

    private double quantile(
            Predicate<Outcome> kind, double quantile, ToDoubleFunction<Outcome> value) {
        double[] values = select(kind).stream().mapToDouble(value).toArray();
        Arrays.sort(values);
        if (values.length == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(quantile * values.length) - 1;
        return values[Math.clamp(rank, 0, values.length - 1)];
    }
}
