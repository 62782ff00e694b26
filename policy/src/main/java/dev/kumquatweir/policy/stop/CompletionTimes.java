package dev.kumquatweir.policy.stop;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.Route;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the time from a request's arrival to its complete answer, from the published cost of
 * the engines and from how long recent answers on the same route took. Not thread-safe.
 */
public final class CompletionTimes {
    private static final int MAXIMUM_ROUTES = 10_000;
    private static final int RECENT_ANSWERS = 32;

    /** Fewer recent answers than this say little about a route. */
    private static final int MINIMUM_ANSWERS = 4;

    /** Answers of a burst say nothing about the time after it. */
    private static final long MAXIMUM_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Ratio of actual to published time on busy engines, while a route has few answers. */
    private static final double DEFAULT_RATIO = 1.5;

    private final Map<String, Deque<Ratio>> mRatiosByRoute = new HashMap<>();

    private record Ratio(double value, long nanos) {}

    /** Size of a request, which with the cost of the engines gives its time on an idle engine. */
    public record Size(Optional<EngineCost> cost, long promptTokens, long outputTokens) {}

    /** Records a complete answer that took this time since it was sent. */
    public void record(Route route, Size size, long tookMillis, long nowNanos) {
        if (mRatiosByRoute.size() >= MAXIMUM_ROUTES) {
            mRatiosByRoute.clear();
        }
        Deque<Ratio> ratios =
                mRatiosByRoute.computeIfAbsent(route.name(), name -> new ArrayDeque<>());
        ratios.addLast(new Ratio(tookMillis / idleMillis(route, size), nowNanos));
        if (ratios.size() > RECENT_ANSWERS) {
            ratios.removeFirst();
        }
    }

    /**
     * Returns the expected time to the complete answer: the median, which half of the requests
     * exceed.
     */
    public double expectedMillis(Route route, Size size, long nowNanos) {
        return idleMillis(route, size) * recentRatio(route, nowNanos).orElse(DEFAULT_RATIO);
    }

    private OptionalDouble recentRatio(Route route, long nowNanos) {
        double[] ratios =
                mRatiosByRoute.getOrDefault(route.name(), new ArrayDeque<>()).stream()
                        .filter(ratio -> nowNanos - ratio.nanos() <= MAXIMUM_AGE_NANOS)
                        .mapToDouble(Ratio::value)
                        .sorted()
                        .toArray();
        return ratios.length < MINIMUM_ANSWERS
                ? OptionalDouble.empty()
                : OptionalDouble.of(ratios[ratios.length / 2]);
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
