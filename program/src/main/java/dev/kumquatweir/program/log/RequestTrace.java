package dev.kumquatweir.program.log;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What several processes logged about one request, and what changed around it that may be its
 * cause: its upstreams, leaders, members and configurations. Stateless.
 */
public final class RequestTrace {
    /** Heartbeats, elections and configurations take effect within this time. */
    private static final Duration LOOKBACK = Duration.ofSeconds(3);

    /** Clocks of machines differ by this much. */
    private static final Duration LOOKAHEAD = Duration.ofMillis(500);

    private static final Set<String> STATE_CHANGE_EVENTS =
            Set.of(
                    "leader_found",
                    "leader_lost",
                    "leader_stepped_down",
                    "control_lost",
                    "control_regained",
                    "routing_taken",
                    "routing_changed",
                    "scheduler_changed",
                    "role_changed",
                    "members_changed",
                    "instance_started",
                    "instance_draining",
                    "instance_stopped",
                    "log_lines_left_out");

    private RequestTrace() {}

    /**
     * Returns the lines of a request and the changes around them, in order of time; empty if no
     * line names the request.
     */
    public static List<LoggedEvent> of(String request, List<LoggedEvent> events) {
        List<LoggedEvent> requestEvents =
                events.stream().filter(event -> event.value("request").equals(request)).toList();
        if (requestEvents.isEmpty()) {
            return List.of();
        }
        Instant first =
                requestEvents.stream().map(LoggedEvent::time).min(Instant::compareTo).orElseThrow();
        Instant last =
                requestEvents.stream().map(LoggedEvent::time).max(Instant::compareTo).orElseThrow();
        Set<String> sources = new HashSet<>();
        Set<String> upstreams = new HashSet<>();
        requestEvents.forEach(
                event -> {
                    sources.add(event.source());
                    upstreams.add(event.value("upstream"));
                });
        upstreams.remove("");
        Stream<LoggedEvent> relatedEvents =
                events.stream()
                        .filter(event -> !event.value("request").equals(request))
                        .filter(event -> event.time().isAfter(first.minus(LOOKBACK)))
                        .filter(event -> event.time().isBefore(last.plus(LOOKAHEAD)))
                        .filter(event -> isRelevant(event, sources, upstreams));
        return Stream.concat(requestEvents.stream(), relatedEvents)
                .sorted(Comparator.comparing(LoggedEvent::time))
                .toList();
    }

    private static boolean isRelevant(
            LoggedEvent event, Set<String> sources, Set<String> upstreams) {
        boolean upstreamFailed =
                upstreams.contains(event.value("upstream"))
                        && Set.of("upstream_changed", "send_failed", "connection_failed")
                                .contains(event.event());
        boolean stateChange = STATE_CHANGE_EVENTS.contains(event.event());
        boolean controlPlaneChange =
                event.event().startsWith("role_") || event.event().startsWith("sched");
        return upstreamFailed
                || (stateChange && (controlPlaneChange || sources.contains(event.source())));
    }
}
