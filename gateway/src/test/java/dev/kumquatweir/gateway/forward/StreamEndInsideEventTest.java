package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Streams whose framing is complete although their last event is not. */
final class StreamEndInsideEventTest {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String HTTP_1_0 =
            "POST " + ForwardingHarness.STREAM_ONCE + " HTTP/1.0\r\n";

    /** Whole fields without the empty line that ends an event, and parts of a field. */
    private static final List<String> PARTIAL_EVENTS =
            List.of("id: 2\ndata: b\n", "id: 2\ndata: b", "id: 2\r\ndata: b\r\n\r", "i");

    /** Guards against a stream that looks complete and lacks its last event. */
    @Test
    void streamThatRunsOnceIsAborted() throws Exception {
        for (Framing framing : Framing.values()) {
            for (String partial : PARTIAL_EVENTS) {
                try (ForwardingHarness harness = harness(framing, partial)) {
                    RawCaller.Response response =
                            harness.call(ForwardingHarness.STREAM_ONCE, "request");
                    assertThat(response.complete(), is(false));
                    assertThat(response.body(), is(FIRST));
                    assertThat(harness.second().requests(), is(empty()));
                }
            }
        }
    }

    /** Guards against an event that is lost, or joined from two runs. */
    @Test
    void resumableStreamGoesOnWithThatEvent() throws Exception {
        for (Framing framing : Framing.values()) {
            for (String partial : PARTIAL_EVENTS) {
                try (ForwardingHarness harness = harness(framing, partial)) {
                    RawCaller.Response response =
                            harness.call(ForwardingHarness.RESUMABLE, "request");
                    assertThat(response.complete(), is(true));
                    assertThat(response.body(), is(FIRST + SECOND));
                    assertThat(
                            harness.second().requests().stream()
                                    .map(send -> send.header(PlainDialect.RESUME_AFTER).orElse(""))
                                    .toList(),
                            contains("1"));
                }
            }
        }
    }

    /** Guards against an aborted stream that a caller without chunks takes for complete. */
    @Test
    void abortedStreamIsNotCompleteWithoutChunksEither() throws Exception {
        try (ForwardingHarness harness = harness(Framing.CHUNKS, "id: 2\n")) {
            RawCaller.Response response = harness.send(HTTP_1_0, "request", "", "");
            assertThat(response.toString(), response.complete(), is(false));
        }
    }

    private static ForwardingHarness harness(Framing framing, String partial) throws Exception {
        return new ForwardingHarness(
                received ->
                        answer(
                                framing,
                                ForwardingHarness.requestId(received),
                                List.of(FIRST, partial)),
                received ->
                        answer(
                                Framing.CHUNKS,
                                ForwardingHarness.requestId(received),
                                List.of(SECOND)));
    }

    private static Answer answer(Framing framing, String id, List<String> parts) {
        Ending ending = framing.endsWithConnection() ? Ending.CLOSE_SENDING : Ending.KEEP_OPEN;
        return new Answer(CutAnswer.head(framing, id, parts) + framing.body(parts), ending);
    }
}
