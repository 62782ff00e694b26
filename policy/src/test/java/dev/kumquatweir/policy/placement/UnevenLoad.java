package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Requests of callers in three failure domains whose demand differs over time. The mix of short,
 * middle and long prompts is that of a deployment with 45 engines, scaled to the engines of the
 * replay.
 */
final class UnevenLoad {
    static final int DOMAINS = 3;

    private static final double PERIOD_SECONDS = 15;
    private static final double ENGINES_OF_MIX = 45;
    private static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass(47.2, 5_000, 35, 309, 200),
                    new RequestClass(4.33, 45_000, 20, 1_514, 500),
                    new RequestClass(0.985, 300_000, 17, 4_024, 800));

    private final Demand mDemand;
    private final double mLoad;
    private final double mSeconds;
    private final Random mRandom;

    private record RequestClass(
            double perSecond, long promptTokens, int events, long targetMillis, long gapMillis) {}

    /** Demand of a domain relative to its mean, at most 3. */
    interface Demand {
        double at(int domain, double seconds);
    }

    /** Demand in waves of a period of 15 s. */
    static Demand waves(double swing, double... phases) {
        return (domain, seconds) ->
                1 + swing * Math.sin(2 * Math.PI * (seconds / PERIOD_SECONDS + phases[domain]));
    }

    /** Half of the clients of the first domain move to the second from 10 s to 12 s. */
    static Demand move() {
        return (domain, seconds) -> {
            double moved = 0.5 * Math.max(0, Math.min(1, (seconds - 10) / 2));
            return switch (domain) {
                case 0 -> 1 - moved;
                case 1 -> 1 + moved;
                default -> 1;
            };
        };
    }

    /**
     * Creates a load.
     *
     * @param load requests per engine, relative to the deployment
     */
    UnevenLoad(Demand demand, double load, double seconds, long seed) {
        mDemand = demand;
        mLoad = load;
        mSeconds = seconds;
        mRandom = new Random(seed);
    }

    /**
     * Adds the requests of each domain to a simulation.
     *
     * @param instances number of instances that send them; a domain's are those whose number has
     *     its remainder
     * @return the requests by domain
     */
    List<List<ReplayOutcome>> arrive(SchedulerReplay replay, int engines, int instances) {
        List<List<ReplayOutcome>> outcomes = new ArrayList<>();
        for (int domain = 0; domain < DOMAINS; domain++) {
            List<ReplayOutcome> own = new ArrayList<>();
            for (RequestClass kind : CLASSES) {
                double perSecond =
                        3 * mLoad * kind.perSecond() * engines / ENGINES_OF_MIX / DOMAINS;
                double seconds = -Math.log(1 - mRandom.nextDouble()) / perSecond;
                while (seconds < mSeconds) {
                    if (3 * mRandom.nextDouble() < mDemand.at(domain, seconds)) {
                        int owner =
                                instances < DOMAINS
                                        ? 0
                                        : DOMAINS * mRandom.nextInt(instances / DOMAINS) + domain;
                        own.add(arrive(replay, kind, owner, domain, 1_000 * seconds));
                    }
                    seconds -= Math.log(1 - mRandom.nextDouble()) / perSecond;
                }
            }
            outcomes.add(own);
        }
        return outcomes;
    }

    private static ReplayOutcome arrive(
            SchedulerReplay replay, RequestClass kind, int owner, int domain, double atMillis) {
        return replay.arrive(
                ReplayCluster.owner(owner),
                domain,
                atMillis,
                kind.promptTokens(),
                kind.events(),
                kind.targetMillis(),
                kind.gapMillis(),
                List.of());
    }
}
