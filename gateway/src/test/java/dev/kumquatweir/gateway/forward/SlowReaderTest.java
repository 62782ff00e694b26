package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Streams with more events than are buffered for a caller that reads slowly. */
final class SlowReaderTest {
    private static final int EVENTS = 30_000;
    private static final String FILLER = "x".repeat(1_000);
    private static final long CALLER_PAUSE_MILLIS = 1_500;
    private static final long UPSTREAM_PAUSE_MILLIS = 2_500;
    private static final int MAXIMUM_WAITS = 100;
    private static final long WAIT_MILLIS = 50;

    /**
     * Guards against an event that is lost where the buffer is full, in a stream that goes on at
     * another upstream as if the first had failed.
     */
    @Test
    void fullBufferAbortsTheStreamAndBlamesNoUpstream() throws Exception {
        List<String> events =
                IntStream.rangeClosed(1, EVENTS)
                        .mapToObj(number -> "id: " + number + "\ndata: " + FILLER + "\n\n")
                        .toList();
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> answer(ForwardingHarness.requestId(received), events, 0, 0),
                        received ->
                                answer(
                                        ForwardingHarness.requestId(received),
                                        events,
                                        received.header(PlainDialect.RESUME_AFTER)
                                                .map(Integer::parseInt)
                                                .orElse(0),
                                        UPSTREAM_PAUSE_MILLIS))) {
            RawCaller.Response response =
                    harness.callSlowly(ForwardingHarness.RESUMABLE, "request", CALLER_PAUSE_MILLIS);
            String all = String.join("", events);
            assertThat(all.startsWith(response.body()), is(true));
            assertThat(response.complete(), is(response.body().length() == all.length()));
            assertThat(harness.second().requests(), is(empty()));
            for (int wait = 0; wait < MAXIMUM_WAITS && harness.runningRequests() > 0; wait++) {
                Thread.sleep(WAIT_MILLIS);
            }
            assertThat(harness.runningRequests(), is(0));
        }
    }

    private static Answer answer(String id, List<String> events, int after, long pauseMillis) {
        List<String> rest = events.subList(after, events.size());
        return new Answer(
                CutAnswer.head(Framing.CHUNKS, id, rest), pauseMillis, Framing.CHUNKS.body(rest));
    }
}
