package dev.kumquatweir.program.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class RequestTraceTest {
    private static final List<LoggedEvent> LINES =
            Stream.of(
                            line("09.000", "upstream_changed", "upstream=u1 phase=READY"),
                            line("13.100", "request_placed", "request=r1 upstream=u1 send=1"),
                            line("13.050", "request_placed", "request=r2 upstream=u2 send=1"),
                            line("13.900", "upstream_changed", "upstream=u1 phase=GONE"),
                            line("13.950", "upstream_changed", "upstream=u2 phase=GONE"),
                            line("14.000", "send_failed", "request=r1 upstream=u1 outcome=BROKEN"),
                            line("14.010", "request_ended", "request=r1 reason=\"a \\\"b\\\"\""),
                            line("12.900", "leader_lost", "leader=c1 term=2"),
                            Optional.<LoggedEvent>empty())
                    .flatMap(Optional::stream)
                    .toList();

    /** Guards against a cause that is left out because its line does not name the request. */
    @Test
    void includesChangesOfTheUpstreamAndTheInstance() {
        List<String> events =
                RequestTrace.of("r1", LINES).stream().map(LoggedEvent::event).toList();
        assertThat(
                events,
                contains(
                        "leader_lost",
                        "request_placed",
                        "upstream_changed",
                        "send_failed",
                        "request_ended"));
    }

    /** Guards against a trace of changes only, which would look like an answer. */
    @Test
    void unknownRequestHasNoTrace() {
        assertThat(RequestTrace.of("r3", LINES), is(empty()));
    }

    /** Guards against quotes and escapes that stay in values. */
    @Test
    void readsQuotedValues() {
        LoggedEvent ended = LINES.get(6);
        assertThat(ended.value("reason"), is("a \"b\""));
    }

    /** Guards against output of other programs that ends the command. */
    @Test
    void linesOfOtherProgramsAreNotEvents() {
        assertThat(LoggedEvent.parse("a.log", "time=soon event=x"), is(Optional.empty()));
        assertThat(LoggedEvent.parse("a.log", "Picked up JAVA_TOOL_OPTIONS"), is(Optional.empty()));
    }

    private static Optional<LoggedEvent> line(String second, String event, String pairs) {
        return LoggedEvent.parse(
                "entry-1.log",
                "time=2026-12-04T10:00:" + second + "Z level=INFO event=" + event + " " + pairs);
    }
}
