package dev.kumquatweir.policy.stop;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.Route;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Estimates the time from a request's arrival to its complete answer, from the published cost of
 * the engines and from how long recent answers on the same route took. Not thread-safe.
 */
public final class CompletionTimes {
    private static final int MAXIMUM_ROUTES = 10_000;
    private static final int RECENT_ANSWERS = 32;

    /** Fewer recent answers than this say little about a route. */
    private static final int MINIMUM_ANSWERS = 4;

    /** Expected share of answers that take at most the estimate. */
    private static final double QUANTILE = 0.9;

    /** Ratio of actual to published time on busy engines, while a route has few answers. */
    private static final double DEFAULT_RATIO = 2.5;

    private final Map<String, Deque<Double>> mRatiosByRoute = new HashMap<>();

    /** Size of a request, which with the cost of the engines gives its time on an idle engine. */
    public record Size(Optional<EngineCost> cost, long promptTokens, long outputTokens) {}

    /** Records a complete answer. */
    public void record(Route route, Size size, long tookMillis) {
        if (mRatiosByRoute.size() >= MAXIMUM_ROUTES) {
            mRatiosByRoute.clear();
        }
        Deque<Double> ratios =
                mRatiosByRoute.computeIfAbsent(route.name(), name -> new ArrayDeque<>());
        ratios.addLast(tookMillis / idleMillis(route, size));
        if (ratios.size() > RECENT_ANSWERS) {
            ratios.removeFirst();
        }
    }

    /** Returns the expected time to the complete answer. */
    public double expectedMillis(Route route, Size size) {
        return idleMillis(route, size) * recentRatio(route).orElse(DEFAULT_RATIO);
    }

    private OptionalDouble recentRatio(Route route) {
        Deque<Double> ratios = mRatiosByRoute.get(route.name());
        if (ratios == null || ratios.size() < MINIMUM_ANSWERS) {
            return OptionalDouble.empty();
        }
        long rank = Math.min(ratios.size(), (long) Math.ceil(QUANTILE * (ratios.size() + 1)));
        return ratios.stream().mapToDouble(Double::doubleValue).sorted().skip(rank - 1).findFirst();
    }

    private static double idleMillis(Route route, Size size) {
        if (size.cost().isEmpty() || size.promptTokens() == 0) {
            return Math.max(1, route.targetLatencyMillis());
        }
        EngineCost cost = size.cost().get();
        double passes = Math.max(1, (double) size.outputTokens() / cost.stepsPerPass());
        return cost.prefillMillis(size.promptTokens())
                + passes * cost.decodePassMillis(1, size.promptTokens());
    }
}
