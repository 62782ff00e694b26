package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.policy.cost.StartError;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the engines for one generation, by the value that it gains and the value that other
 * requests on these engines lose. Stateless.
 *
 * <p>The prefill of a long prompt delays the events of all requests on the engine for one pass.
 * With a mix of long and short prompts, short requests are therefore packed on few engines, which
 * leaves other engines without decoding requests for the long prompts, and a long prompt is split
 * into parts that are short enough not to delay the other requests on their engines.
 */
final class EngineChooser {
    /** Slowdown of a prefill by the decoding steps that run between its chunks. */
    private static final double PREFILL_OVERHEAD = 1.1;

    /**
     * Share of the target gap that an estimated gap may reach. Estimates are inexact, and a gap
     * estimated close to the target exceeds it in about half of the cases.
     */
    private static final double GAP_MARGIN = 0.85;

    /** Share of its value that a late answer loses. */
    static final double LATE_LOSS_SHARE = 0.75;

    /**
     * Shortest prefill that is split. Below it the calls to other engines cost more than they gain.
     */
    static final double MINIMUM_SPLIT_MILLIS = 60;

    /** Maximum number of engines per prompt, set by the protocol. */
    private static final int MAXIMUM_ENGINES = 16;

    /** Number of engines over which a long prompt is typically split. */
    private static final double TYPICAL_SPLIT_ENGINES = 8;

    /** Prefill time of a part from which on other requests on the engine miss usual gap targets. */
    private static final double BLOCKING_MILLIS = 150;

    /**
     * Largest share of the engines that may prefill such parts. The others remain for short
     * requests.
     */
    private static final double MAXIMUM_BLOCKED_SHARE = 0.65;

    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private static final Comparator<PartEstimate> LEAST_LOSS_FIRST =
            (first, second) -> {
                int byLoss = Double.compare(first.lostValue(), second.lostValue());
                return byLoss != 0
                        ? byLoss
                        : Double.compare(first.readyMillis(), second.readyMillis());
            };

    private EngineChooser() {}

    /**
     * Returns the placement with the highest score, or empty if no engine has capacity.
     *
     * @param request the request
     * @param cost cost model of the engines
     * @param eligible engines that may receive work
     * @param saturation share of all slots that are in use or waited for, 0 to 1
     * @param startError error of expected times of first events
     * @param nowNanos present time
     */
    static Optional<PlacementOption> choose(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> eligible,
            double saturation,
            StartError startError,
            long nowNanos) {
        List<PlacementOption> options = new ArrayList<>();
        for (PlacementUpstream upstream : eligible) {
            if (hasFreeSlot(upstream, cost, nowNanos)) {
                PartEstimate part = estimatePart(upstream, request, cost, 1, nowNanos);
                buildOption(request, cost, List.of(part), saturation, startError, nowNanos)
                        .ifPresent(options::add);
            }
        }
        boolean tooLarge = EngineMemory.exceedsOneEngine(request, cost);
        if (!isShort(request, cost) || tooLarge) {
            options.addAll(splitOptions(request, cost, eligible, saturation, startError, nowNanos));
        }
        return options.stream().max(Comparator.comparingDouble(PlacementOption::score));
    }

    /**
     * Returns the minimum time to first event, in milliseconds, if this number of idle engines
     * shares the prompt.
     */
    static double minimumMillis(PlacementRequest request, EngineCost cost, int engines) {
        int parts = Math.max(1, Math.min(MAXIMUM_ENGINES, engines));
        return cost.prefillMillis(request.promptTokens()) / parts + cost.decodePassMillis(1, 0);
    }

    /** Returns the typical time to first event, in milliseconds, on an engine with a free slot. */
    static double typicalMillis(PlacementRequest request, EngineCost cost) {
        double passMillis = cost.decodePassMillis(cost.maximumConcurrentRequests() / 2, 0);
        double prefillMillis = cost.prefillMillis(request.promptTokens()) * PREFILL_OVERHEAD;
        double parts = prefillMillis < MINIMUM_SPLIT_MILLIS ? 1 : TYPICAL_SPLIT_ENGINES;
        return prefillMillis / parts + 1.5 * passMillis;
    }

    /** Returns whether the prompt is too short for its prefill to be split. */
    static boolean isShort(PlacementRequest request, EngineCost cost) {
        return cost.prefillMillis(request.promptTokens()) < MINIMUM_SPLIT_MILLIS;
    }

    private static boolean hasFreeSlot(PlacementUpstream upstream, EngineCost cost, long nowNanos) {
        int slots = upstream.availableSlots(cost.maximumConcurrentRequests(), nowNanos);
        return upstream.primaryCount() < slots;
    }

    private static List<PlacementOption> splitOptions(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> eligible,
            double saturation,
            StartError startError,
            long nowNanos) {
        List<PlacementUpstream> rankedEngines = rankedEngines(request, cost, eligible, nowNanos);
        double prefillMillis = cost.prefillMillis(request.promptTokens());
        int blockableEngines = blockableEngines(eligible, nowNanos);
        List<PlacementOption> options = new ArrayList<>();
        for (int count = 2; count <= Math.min(MAXIMUM_ENGINES, rankedEngines.size()); count++) {
            boolean blocks = prefillMillis / count >= BLOCKING_MILLIS;
            if (blocks && count > blockableEngines) {
                continue;
            }
            List<PartEstimate> parts = new ArrayList<>(count);
            for (PlacementUpstream upstream : rankedEngines.subList(0, count)) {
                parts.add(estimatePart(upstream, request, cost, count, nowNanos));
            }
            buildOption(
                            request,
                            cost,
                            primaryFirst(parts, cost, nowNanos),
                            saturation,
                            startError,
                            nowNanos)
                    .ifPresent(options::add);
        }
        return options;
    }

    /**
     * Sorts engines by the value that a part of typical size would cost other requests there, then
     * by the time until the part is processed.
     */
    private static List<PlacementUpstream> rankedEngines(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> eligible,
            long nowNanos) {
        int typicalParts = 4;
        List<PartEstimate> parts = new ArrayList<>(eligible.size());
        for (PlacementUpstream upstream : eligible) {
            boolean mayHelp =
                    upstream.helperCount() < cost.maximumConcurrentRequests()
                            && upstream.health().availableSlots(2, nowNanos) > 1
                            && EngineMemory.hasMemoryForPart(
                                    upstream,
                                    cost,
                                    request.promptTokens() / MAXIMUM_ENGINES,
                                    nowNanos);
            if (mayHelp) {
                parts.add(estimatePart(upstream, request, cost, typicalParts, nowNanos));
            }
        }
        parts.sort(LEAST_LOSS_FIRST);
        return parts.stream().limit(MAXIMUM_ENGINES).map(PartEstimate::upstream).toList();
    }

    private static List<PartEstimate> primaryFirst(
            List<PartEstimate> parts, EngineCost cost, long nowNanos) {
        Optional<PartEstimate> primary =
                parts.stream()
                        .filter(part -> hasFreeSlot(part.upstream(), cost, nowNanos))
                        .min(Comparator.comparingLong(part -> part.upstream().memoryTokens()));
        if (primary.isEmpty()) {
            return List.of();
        }
        List<PartEstimate> ordered = new ArrayList<>(parts);
        ordered.remove(primary.get());
        ordered.add(0, primary.get());
        return ordered;
    }

    /**
     * Estimates the cost of prefilling one of {@code partCount} equal parts of the prompt on an
     * engine.
     */
    private static PartEstimate estimatePart(
            PlacementUpstream upstream,
            PlacementRequest request,
            EngineCost cost,
            int partCount,
            long nowNanos) {
        double slowdown = upstream.health().slowdown(nowNanos);
        double prefillMillis =
                cost.prefillMillis(request.promptTokens())
                        / partCount
                        * slowdown
                        * PREFILL_OVERHEAD;
        double passMillis =
                cost.decodePassMillis(upstream.decodingCount() + 1, upstream.contextTokens())
                        * slowdown;
        double pendingPrefillMillis = upstream.pendingPrefillMillis(nowNanos);
        boolean busy = upstream.decodingCount() > 0 || pendingPrefillMillis > 0;
        double readyMillis = (busy ? passMillis / 2 : 0) + pendingPrefillMillis + prefillMillis;
        long partTokens = request.promptTokens() / partCount;
        double prefillInPassMillis =
                partTokens > cost.prefillTokensPerPass()
                        ? prefillMillis * cost.prefillTokensPerPass() / partTokens
                        : prefillMillis;
        double gapMillis = passMillis + pendingPrefillMillis + prefillInPassMillis;
        double lostValue = 0;
        for (PlacedPart placed : upstream.parts()) {
            lostValue += lostValue(placed, gapMillis, prefillMillis, nowNanos);
        }
        return new PartEstimate(upstream, prefillMillis, readyMillis, passMillis, lostValue);
    }

    private static double lostValue(
            PlacedPart placed, double gapMillis, double prefillMillis, long nowNanos) {
        PlacementRequest request = placed.request();
        if (placed.late()) {
            return 0;
        }
        if (placed.started()) {
            double gapLimitMillis = GAP_MARGIN * request.targetGapMillis();
            boolean stalled = placed.primary() && gapLimitMillis > 0 && gapMillis > gapLimitMillis;
            return stalled ? LATE_LOSS_SHARE * request.value() : 0;
        }
        long delayedNanos = placed.firstEventNanos() + (long) (prefillMillis * NANOS_PER_MILLI);
        boolean onTime = placed.firstEventNanos() - request.targetNanos() <= 0;
        boolean missesTarget = onTime && delayedNanos - request.targetNanos() > 0;
        return missesTarget && delayedNanos - nowNanos > 0 ? LATE_LOSS_SHARE * request.value() : 0;
    }

    private static Optional<PlacementOption> buildOption(
            PlacementRequest request,
            EngineCost cost,
            List<PartEstimate> parts,
            double saturation,
            StartError startError,
            long nowNanos) {
        if (parts.isEmpty()) {
            return Optional.empty();
        }
        List<Long> reserved = EngineMemory.reservations(request, cost, parts, nowNanos);
        if (reserved.isEmpty()) {
            return Optional.empty();
        }
        PartEstimate primary = parts.get(0);
        double readyMillis = 0;
        double lostValue = 0;
        double errorRate = 0;
        for (PartEstimate part : parts) {
            readyMillis = Math.max(readyMillis, part.readyMillis());
            lostValue += part.lostValue();
            errorRate = Math.max(errorRate, part.upstream().health().errorRate(nowNanos));
        }
        double crossingMillis = primary.upstream().crossingMillis(request);
        double firstEventMillis = readyMillis + primary.passMillis() + crossingMillis;
        long firstEventNanos = nowNanos + (long) (firstEventMillis * NANOS_PER_MILLI);
        if (firstEventNanos - request.latestStartNanos() > 0) {
            return Optional.empty();
        }
        double displacedValue = OptionScore.displacedValue(request, cost, saturation);
        double score =
                OptionScore.score(
                        request,
                        cost,
                        parts,
                        firstEventNanos,
                        errorRate,
                        lostValue
                                + displacedValue
                                + EngineMemory.tightnessLoss(request, cost, primary.upstream()),
                        startError,
                        nowNanos);
        return Optional.of(
                new PlacementOption(
                        primary.upstream(),
                        parts,
                        reserved,
                        firstEventNanos,
                        lostValue,
                        displacedValue,
                        score));
    }

    /**
     * Returns the number of further engines that the prefill of long prompts may block for short
     * requests.
     */
    private static int blockableEngines(List<PlacementUpstream> eligible, long nowNanos) {
        long blocked =
                eligible.stream()
                        .filter(
                                upstream ->
                                        upstream.pendingPrefillMillis(nowNanos) >= BLOCKING_MILLIS)
                        .count();
        return (int) (MAXIMUM_BLOCKED_SHARE * eligible.size() - blocked);
    }
}
