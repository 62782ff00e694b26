package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Requests of several teams on a replay. Callers whose request is rejected return once or more
 * often after the time that they are told, at most a third of the time they have left.
 */
final class TeamLoad {
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int EVENT_TOKENS = 46;
    private static final long TIME_LIMIT_MILLIS = 10_000;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final double STEP_MILLIS = 50;

    private final SchedulerReplay mReplay;
    private final Random mRandom;
    private final List<ReplayOutcome> mOutcomes = new ArrayList<>();
    private final Map<String, Integer> mAttempts = new HashMap<>();
    private long mLastNumber = 1_000_000;

    TeamLoad(SchedulerReplay replay, long seed) {
        mReplay = replay;
        mRandom = new Random(seed);
        replay.onReject(this::returnAsTold);
    }

    /** Adds short requests of a team with times between them that are distributed exponentially. */
    void shorts(String team, double perSecond, double fromMillis, double untilMillis) {
        generations(team, perSecond, 5_000, 35, 300, fromMillis, untilMillis);
    }

    void generations(
            String team,
            double perSecond,
            long promptTokens,
            int events,
            long targetMillis,
            double fromMillis,
            double untilMillis) {
        double at = fromMillis;
        while (true) {
            at += -1_000 / perSecond * Math.log(1 - mRandom.nextDouble());
            if (at >= untilMillis) {
                return;
            }
            String content = team + "-" + mLastNumber;
            long sizeTokens =
                    (long) (promptTokens * Math.exp(0.5 * mRandom.nextGaussian() - 0.125));
            double limitMillis = TIME_LIMIT_MILLIS * (0.85 + 0.3 * mRandom.nextDouble());
            long nowNanos = (long) (at * MILLI);
            int lengthEvents =
                    (int) Math.max(1, events * Math.exp(0.7 * mRandom.nextGaussian() - 0.245));
            submit(
                    team,
                    content,
                    sizeTokens,
                    lengthEvents,
                    targetMillis,
                    nowNanos,
                    nowNanos + (long) (limitMillis * MILLI));
        }
    }

    /** Lets the caller of each request of a share of all repeat it, many times at once. */
    void repeatAtOnce(double share, int copies) {
        List<ReplayOutcome> firsts = List.copyOf(mOutcomes);
        for (ReplayOutcome outcome : firsts) {
            if (mRandom.nextDouble() < share) {
                for (int copy = 1; copy < copies; copy++) {
                    mOutcomes.add(
                            mReplay.submit(
                                    copy(outcome.mRequest, copy),
                                    outcome.mArrivedNanos + copy * MILLI));
                }
            }
        }
    }

    private void submit(
            String team,
            String content,
            long promptTokens,
            int events,
            long targetMillis,
            long nowNanos,
            long deadlineNanos) {
        PlacementRequest request =
                builder(team, content, content)
                        .times(
                                nowNanos + targetMillis * MILLI,
                                nowNanos + Math.max(2_000, 4 * targetMillis) * MILLI,
                                deadlineNanos)
                        .generation(promptTokens, (long) EVENT_TOKENS * events, 0)
                        .build();
        mOutcomes.add(mReplay.submit(request, nowNanos));
    }

    private PlacementRequest.Builder builder(String team, String content, String id) {
        mLastNumber++;
        PlacementKey key = new PlacementKey(new InstanceId("entry"), mLastNumber);
        return PlacementRequest.builder(key, id, SchedulerReplay.SERVICE)
                .contentHash(content)
                .origin(team, "route");
    }

    private PlacementRequest copy(PlacementRequest request, int copy) {
        String id = request.requestId() + "/" + copy;
        return builder(request.team(), request.contentHash(), id)
                .times(request.targetNanos(), request.latestStartNanos(), request.deadlineNanos())
                .generation(
                        request.promptTokens(), request.outputTokens(), request.targetGapMillis())
                .build();
    }

    private void returnAsTold(ReplayOutcome outcome, PlacementAction.Reject reject) {
        PlacementRequest request = outcome.mRequest;
        long rejectedNanos = outcome.mArrivedNanos + (long) (outcome.rejectedMillis() * MILLI);
        long leftNanos = request.deadlineNanos() - rejectedNanos;
        long waitNanos = Math.min(reject.retryAfterMillis() * MILLI, leftNanos / 3);
        int attempts = mAttempts.merge(request.requestId(), 1, Integer::sum);
        if (leftNanos > 0 && attempts < MAXIMUM_ATTEMPTS) {
            long nowNanos = rejectedNanos + waitNanos;
            long targetNanos = request.targetNanos() - outcome.mArrivedNanos + nowNanos;
            long startNanos = request.latestStartNanos() - outcome.mArrivedNanos + nowNanos;
            PlacementRequest again =
                    builder(request.team(), request.contentHash(), request.requestId())
                            .times(targetNanos, startNanos, request.deadlineNanos())
                            .generation(
                                    request.promptTokens(),
                                    request.outputTokens(),
                                    request.targetGapMillis())
                            .build();
            mOutcomes.add(mReplay.submit(again, nowNanos));
        }
    }

    List<ReplayOutcome> outcomes() {
        return mOutcomes;
    }

    /** Returns the work placed for each team in a window of time. */
    Map<String, Double> placedWork(double fromMillis, double untilMillis) {
        Map<String, Double> work = new HashMap<>();
        for (ReplayOutcome outcome : mOutcomes) {
            double placedMillis = (double) outcome.mPlacedNanos / MILLI;
            if (outcome.mPlacedNanos >= 0
                    && placedMillis >= fromMillis
                    && placedMillis < untilMillis) {
                work.merge(outcome.mRequest.team(), work(outcome.mRequest), Double::sum);
            }
        }
        return work;
    }

    /**
     * Returns the work that each team demanded in a window of time: of all requests that waited in
     * it, each counted once however often it returns after a rejection.
     */
    Map<String, Double> demandedWork(double fromMillis, double untilMillis) {
        Map<String, Double> work = new HashMap<>();
        Set<String> seen = new HashSet<>();
        waitedIn(fromMillis, untilMillis)
                .filter(outcome -> seen.add(outcome.mRequest.requestId()))
                .forEach(
                        outcome ->
                                work.merge(
                                        outcome.mRequest.team(),
                                        work(outcome.mRequest),
                                        Double::sum));
        return work;
    }

    /** Returns the largest work of one request of each team that waited in a window of time. */
    Map<String, Double> largestWork(double fromMillis, double untilMillis) {
        Map<String, Double> work = new HashMap<>();
        waitedIn(fromMillis, untilMillis)
                .forEach(
                        outcome ->
                                work.merge(
                                        outcome.mRequest.team(),
                                        work(outcome.mRequest),
                                        Math::max));
        return work;
    }

    private Stream<ReplayOutcome> waitedIn(double fromMillis, double untilMillis) {
        return mOutcomes.stream()
                .filter(outcome -> outcome.arrivedMillis() < untilMillis)
                .filter(outcome -> decidedMillis(outcome) >= fromMillis);
    }

    private static double decidedMillis(ReplayOutcome outcome) {
        return outcome.mPlacedNanos >= 0
                ? (double) outcome.mPlacedNanos / MILLI
                : outcome.arrivedMillis() + outcome.rejectedMillis();
    }

    /**
     * Returns the share of the requests of a kind that were answered, by attempts of one caller.
     */
    double servedShare(ToDoubleFunction<ReplayOutcome> weight) {
        Map<String, Double> weights = new HashMap<>();
        Set<String> served = new HashSet<>();
        for (ReplayOutcome outcome : mOutcomes) {
            String content = outcome.mRequest.contentHash();
            weights.putIfAbsent(content, weight.applyAsDouble(outcome));
            if (outcome.finished()) {
                served.add(content);
            }
        }
        double all = weights.values().stream().mapToDouble(Double::doubleValue).sum();
        return served.stream().mapToDouble(weights::get).sum() / all;
    }

    /**
     * Returns the value of the answers, each for one caller: 1 if it began within the target after
     * the first attempt, 0.25 if it was late.
     */
    double goodput() {
        Map<String, ReplayOutcome> firsts = new HashMap<>();
        Map<String, Double> values = new HashMap<>();
        for (ReplayOutcome outcome : mOutcomes) {
            String content = outcome.mRequest.contentHash();
            ReplayOutcome first = firsts.merge(content, outcome, (known, other) -> known);
            if (outcome.finished()) {
                double begunMillis = outcome.arrivedMillis() + outcome.firstEventMillis();
                double targetMillis = (double) first.mRequest.targetNanos() / MILLI;
                values.merge(content, begunMillis <= targetMillis ? 1 : 0.25, Math::max);
            }
        }
        return values.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    static double work(PlacementRequest request) {
        return new WaitingRequest(request, Optional.of(SchedulerReplay.COST), 0).work();
    }

    /**
     * Returns the work that each team would get in a window of time if the work that was placed in
     * each short step was shared fairly among the teams that had waiting requests in it.
     */
    Map<String, Double> fairWork(double fromMillis, double untilMillis) {
        Map<String, Double> fair = new HashMap<>();
        for (double step = fromMillis; step < untilMillis; step += STEP_MILLIS) {
            double end = step + STEP_MILLIS;
            double capacity = sum(placedWork(step, end));
            maxMinShares(demandedWork(step, end), capacity)
                    .forEach((team, work) -> fair.merge(team, work, Double::sum));
        }
        Map<String, Double> demand = demandedWork(fromMillis, untilMillis);
        fair.replaceAll((team, work) -> Math.min(work, demand.getOrDefault(team, 0.0)));
        return fair;
    }

    static double sum(Map<String, Double> work) {
        return work.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the max-min fair share of each team in the given work. */
    static Map<String, Double> maxMinShares(Map<String, Double> demand, double capacity) {
        Map<String, Double> shares = new HashMap<>();
        double left = capacity;
        int teams = demand.size();
        List<Map.Entry<String, Double>> ascending =
                demand.entrySet().stream().sorted(Map.Entry.comparingByValue()).toList();
        for (Map.Entry<String, Double> entry : ascending) {
            double share = Math.min(entry.getValue(), left / teams);
            shares.put(entry.getKey(), share);
            left -= share;
            teams--;
        }
        return shares;
    }
}
