package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Chooses the engines of one generation by the value it gains and the value that others lose. Pure.
 *
 * <p>Answers the load in which long and short prompts come in turns: reading a long prompt stops
 * the events of all requests on the engine for a pass. Short requests are therefore packed on few
 * engines, which leaves others without writers for long prompts, and a long prompt is split into
 * parts that are short enough for the requests beside them.
 */
final class EngineChooser {
    /** Decoding steps between the chunks make reading slower than its own cost. */
    private static final double READ_OVERHEAD = 1.1;

    /** A pause near its bound is late as often as not, since estimates are not exact. */
    private static final double GAP_MARGIN = 0.85;

    /** Part of its value that an answer loses when it is late. */
    static final double LATE_LOSS = 0.75;

    /** Prompts that are read faster than this are not worth the calls to other engines. */
    private static final double SPLIT_FROM_MILLIS = 60;

    /** Largest share of an engine's memory that is planned for: outputs may be longer than said. */
    private static final double MEMORY_SHARE = 0.95;

    /** Upper bound of the protocol for engines that help with one prompt. */
    private static final int MOST_ENGINES = 16;

    /** Engines that a long prompt can usually be split over. */
    private static final double USUAL_SPLIT = 8;

    /** A part that is read for longer makes the events beside it late on usual targets. */
    private static final double BLOCKING_MILLIS = 150;

    /** Largest share of the engines that read such parts; short requests need the others. */
    private static final double BLOCKED_SHARE = 0.65;

    /** Share of taken places from which on the time of engines is scarce. */
    private static final double SCARCE_FROM = 0.7;

    private static final double SPEED_WEIGHT = 0.05;

    /** Above what a pass costs a short request of its target, so that an idle engine stays idle. */
    private static final double PACKING_WEIGHT = 0.1;

    /**
     * Below what draws requests to engines with work, so that it decides among those. Answers the
     * load beside a lossy or priced link: a lost packet of a stream between failure domains delays
     * its event by 200 ms.
     */
    private static final double NEAR_WEIGHT = 0.04;

    /** Below packing, so that an instance that places alone stays with the engines it chose. */
    private static final double PREFERENCE_WEIGHT = 0.05;

    private static final double ENGINE_WEIGHT = 0.002;
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private static final Comparator<EnginePart> LEAST_HARM_FIRST =
            (one, other) -> {
                int byHarm = Double.compare(one.harm(), other.harm());
                return byHarm != 0
                        ? byHarm
                        : Double.compare(one.readyMillis(), other.readyMillis());
            };

    private EngineChooser() {}

    /**
     * Returns the best way to place a request now, if any engine has room.
     *
     * @param request the request
     * @param cost what the engines' work costs
     * @param open engines that may get work
     * @param pressure share of all places that are taken or waited for, 0 to 1
     * @param nowNanos present time
     */
    static Optional<EngineOption> choose(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> open,
            double pressure,
            long nowNanos) {
        double readMillis = cost.prefillMillis(request.promptTokens());
        List<EngineOption> options = new ArrayList<>();
        for (PlacementUpstream upstream : open) {
            if (mayAnswer(upstream, cost, nowNanos)) {
                EnginePart part = part(upstream, request, cost, 1, nowNanos);
                option(request, cost, List.of(part), pressure, nowNanos).ifPresent(options::add);
            }
        }
        boolean tooLarge = request.memoryTokens() > MEMORY_SHARE * cost.kvCacheTokens();
        if (readMillis >= SPLIT_FROM_MILLIS || tooLarge) {
            options.addAll(split(request, cost, open, pressure, nowNanos));
        }
        return options.stream().max(Comparator.comparingDouble(EngineOption::score));
    }

    /** Returns the shortest time in which so many engines could begin an answer. */
    static double shortestMillis(PlacementRequest request, EngineCost cost, int engines) {
        int parts = Math.max(1, Math.min(MOST_ENGINES, engines));
        return cost.prefillMillis(request.promptTokens()) / parts + cost.decodePassMillis(1, 0);
    }

    /** Returns the time in which an engine with a free place usually begins an answer. */
    static double usualMillis(PlacementRequest request, EngineCost cost) {
        double pass = cost.decodePassMillis(cost.maximumConcurrentRequests() / 2, 0);
        double read = cost.prefillMillis(request.promptTokens()) * READ_OVERHEAD;
        double split = read < SPLIT_FROM_MILLIS ? 1 : USUAL_SPLIT;
        return read / split + 1.5 * pass;
    }

    private static boolean mayAnswer(PlacementUpstream upstream, EngineCost cost, long nowNanos) {
        int places = upstream.places(cost.maximumConcurrentRequests(), nowNanos);
        return upstream.answering() < places;
    }

    private static List<EngineOption> split(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> open,
            double pressure,
            long nowNanos) {
        List<PlacementUpstream> ranked = ranked(request, cost, open, nowNanos);
        double read = cost.prefillMillis(request.promptTokens());
        int blockable = blockable(open, nowNanos);
        List<EngineOption> options = new ArrayList<>();
        for (int count = 2; count <= Math.min(MOST_ENGINES, ranked.size()); count++) {
            boolean blocks = read / count >= BLOCKING_MILLIS;
            if (blocks && count > blockable) {
                continue;
            }
            List<EnginePart> parts = new ArrayList<>(count);
            for (PlacementUpstream upstream : ranked.subList(0, count)) {
                parts.add(part(upstream, request, cost, count, nowNanos));
            }
            option(request, cost, primaryFirst(parts, cost, nowNanos), pressure, nowNanos)
                    .ifPresent(options::add);
        }
        return options;
    }

    /** Orders engines by what a part of typical size would harm there, then by their backlog. */
    private static List<PlacementUpstream> ranked(
            PlacementRequest request,
            EngineCost cost,
            List<PlacementUpstream> open,
            long nowNanos) {
        int typicalParts = 4;
        List<EnginePart> parts = new ArrayList<>(open.size());
        for (PlacementUpstream upstream : open) {
            boolean mayHelp =
                    upstream.helping() < cost.maximumConcurrentRequests()
                            && upstream.trust().openPlaces(2, nowNanos) > 1;
            if (mayHelp) {
                parts.add(part(upstream, request, cost, typicalParts, nowNanos));
            }
        }
        parts.sort(LEAST_HARM_FIRST);
        return parts.stream().limit(MOST_ENGINES).map(EnginePart::upstream).toList();
    }

    private static List<EnginePart> primaryFirst(
            List<EnginePart> parts, EngineCost cost, long nowNanos) {
        Optional<EnginePart> primary =
                parts.stream()
                        .filter(part -> mayAnswer(part.upstream(), cost, nowNanos))
                        .min(Comparator.comparingLong(part -> part.upstream().memoryTokens()));
        if (primary.isEmpty()) {
            return List.of();
        }
        List<EnginePart> ordered = new ArrayList<>(parts);
        ordered.remove(primary.get());
        ordered.add(0, primary.get());
        return ordered;
    }

    /** Estimates one of {@code count} even parts on an engine. */
    private static EnginePart part(
            PlacementUpstream upstream,
            PlacementRequest request,
            EngineCost cost,
            int count,
            long nowNanos) {
        double pace = upstream.trust().pace(nowNanos);
        double read = cost.prefillMillis(request.promptTokens()) / count * pace * READ_OVERHEAD;
        double pass =
                cost.decodePassMillis(upstream.writing() + 1, upstream.contextTokens()) * pace;
        double unread = upstream.unreadMillis(nowNanos);
        boolean working = upstream.writing() > 0 || unread > 0;
        double ready = (working ? pass / 2 : 0) + unread + read;
        long partTokens = request.promptTokens() / count;
        double readInPass =
                partTokens > cost.prefillTokensPerPass()
                        ? read * cost.prefillTokensPerPass() / partTokens
                        : read;
        double pause = pass + unread + readInPass;
        double harm = 0;
        for (PlacedWork work : upstream.works()) {
            harm += harm(work, pause, read, nowNanos);
        }
        return new EnginePart(upstream, read, ready, pass, harm);
    }

    private static double harm(PlacedWork work, double pause, double read, long nowNanos) {
        PlacementRequest request = work.request();
        if (work.late()) {
            return 0;
        }
        if (work.started()) {
            double bound = GAP_MARGIN * request.targetGapMillis();
            boolean stopped = work.answers() && bound > 0 && pause > bound;
            return stopped ? LATE_LOSS * request.value() : 0;
        }
        long delayed = work.expectedNanos() + (long) (read * NANOS_PER_MILLI);
        boolean onTime = work.expectedNanos() - request.targetNanos() <= 0;
        boolean missed = onTime && delayed - request.targetNanos() > 0;
        return missed && delayed - nowNanos > 0 ? LATE_LOSS * request.value() : 0;
    }

    private static Optional<EngineOption> option(
            PlacementRequest request,
            EngineCost cost,
            List<EnginePart> parts,
            double pressure,
            long nowNanos) {
        if (parts.isEmpty()) {
            return Optional.empty();
        }
        List<Long> reserved = reservations(request, cost, parts);
        if (reserved.isEmpty()) {
            return Optional.empty();
        }
        EnginePart primary = parts.get(0);
        double ready = 0;
        double harm = 0;
        double errors = 0;
        for (EnginePart part : parts) {
            ready = Math.max(ready, part.readyMillis());
            harm += part.harm();
            errors = Math.max(errors, part.upstream().trust().errors(nowNanos));
        }
        double first = ready + primary.passMillis();
        long firstNanos = nowNanos + (long) (first * NANOS_PER_MILLI);
        if (firstNanos - request.latestStartNanos() > 0) {
            return Optional.empty();
        }
        double value = request.value();
        boolean onTime = firstNanos - request.targetNanos() <= 0;
        double gain = value * (onTime ? 1 : 1 - LATE_LOSS);
        double windowMillis = Math.max(1, (request.targetNanos() - nowNanos) / NANOS_PER_MILLI);
        double slowness = SPEED_WEIGHT * Math.min(2, first / windowMillis);
        double packing = packing(cost, request, primary, parts.size());
        double displaced = displaced(request, cost, pressure);
        double score = gain * (1 - errors) - harm - displaced + value * (packing - slowness);
        return Optional.of(
                new EngineOption(
                        primary.upstream(), parts, reserved, firstNanos, harm, displaced, score));
    }

    /**
     * Returns the value of the tokens that engines would write while they read the prompt, as far
     * as there is work for all places. Answers a burst of short requests on few engines: one very
     * long prompt would cost more of them than it is worth.
     */
    private static double displaced(PlacementRequest request, EngineCost cost, double pressure) {
        int requests = cost.maximumConcurrentRequests();
        double tokens = (double) requests * cost.stepsPerPass();
        double valuePerMilli =
                PlacementRequest.outputValue(tokens) / cost.decodePassMillis(requests, 0);
        double scarcity = Math.max(0, (pressure - SCARCE_FROM) / (1 - SCARCE_FROM));
        return scarcity * valuePerMilli * cost.prefillMillis(request.promptTokens());
    }

    /** Returns how many more engines long prompts may keep from taking short ones. */
    private static int blockable(List<PlacementUpstream> open, long nowNanos) {
        long blocked =
                open.stream()
                        .filter(each -> each.unreadMillis(nowNanos) >= BLOCKING_MILLIS)
                        .count();
        return (int) (BLOCKED_SHARE * open.size() - blocked);
    }

    /** Draws short prompts to engines that already write, and long ones away from them. */
    private static double packing(
            EngineCost cost, PlacementRequest request, EnginePart primary, int engines) {
        double occupied =
                (double) primary.upstream().answering() / cost.maximumConcurrentRequests();
        boolean brief = cost.prefillMillis(request.promptTokens()) < SPLIT_FROM_MILLIS;
        double drawn = occupied > 0 ? (1 + occupied) / 2 : 0;
        return PACKING_WEIGHT * (brief ? drawn : -drawn)
                + PREFERENCE_WEIGHT * primary.upstream().preference()
                + (primary.upstream().near(request) ? NEAR_WEIGHT : 0)
                - ENGINE_WEIGHT * (engines - 1);
    }

    /**
     * Returns the tokens that each engine holds for the primary, all 0 if the primary has room for
     * the whole request; empty if the memory of all is too small.
     */
    private static List<Long> reservations(
            PlacementRequest request, EngineCost cost, List<EnginePart> parts) {
        long missing = request.memoryTokens() - room(parts.get(0), cost);
        List<Long> reserved = new ArrayList<>();
        reserved.add(0L);
        for (EnginePart helper : parts.subList(1, parts.size())) {
            long held = Math.max(0, Math.min(missing, room(helper, cost)));
            reserved.add(held);
            missing -= held;
        }
        return missing <= 0 ? reserved : List.of();
    }

    private static long room(EnginePart part, EngineCost cost) {
        return (long) (MEMORY_SHARE * cost.kvCacheTokens()) - part.upstream().memoryTokens();
    }
}
