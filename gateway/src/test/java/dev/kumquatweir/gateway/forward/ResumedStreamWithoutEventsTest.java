package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Streams that are resumed after an event that may have been their last one. */
final class ResumedStreamWithoutEventsTest {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final int LAST_CHUNK_BYTES = 5;
    private static final String AFTER_SECOND = PlainDialect.RESUME_AFTER + ": 2\r\n";

    /** Guards against a caller that gets no answer at all, because it has all events already. */
    @Test
    void callerThatHasAllEventsGetsAnEmptyStream() throws Exception {
        List<String> events = List.of(FIRST, SECOND);
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> answer(received, Framing.CHUNKS, events),
                        received -> answer(received, Framing.CHUNKS, events))) {
            RawCaller.Response response =
                    harness.call(ForwardingHarness.RESUMABLE, "request", AFTER_SECOND, "");
            assertThat(response.toString(), is("200 complete "));
            assertThat(harness.first().requests(), hasSize(1));
        }
    }

    /** Guards against an aborted stream of which the caller has each event. */
    @Test
    void streamCutAfterItsLastEventIsComplete() throws Exception {
        for (Framing framing : List.of(Framing.LENGTH, Framing.CHUNKS)) {
            try (ForwardingHarness harness = cutBeforeLastChunk(framing)) {
                RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
                assertThat(response.complete(), is(true));
                assertThat(response.body(), is(FIRST + SECOND));
                assertThat(harness.second().requests(), hasSize(1));
            }
        }
    }

    /** Guards against a failure for a caller whose own resumption finds no events left. */
    @Test
    void emptyStreamAfterTheCallersLastEventIsComplete() throws Exception {
        for (Framing framing : List.of(Framing.LENGTH, Framing.CHUNKS)) {
            try (ForwardingHarness harness = emptyStreams(framing)) {
                RawCaller.Response response =
                        harness.call(ForwardingHarness.RESUMABLE, "request", AFTER_SECOND, "");
                assertThat(response.toString(), is("200 complete "));
                assertThat(harness.second().requests(), is(empty()));
            }
        }
    }

    /** Guards against an answer cut after its head that passes for the end of a stream. */
    @Test
    void emptyStreamThatEndsWithItsConnectionIsNotComplete() throws Exception {
        try (ForwardingHarness harness = cutBeforeLastChunk(Framing.NONE)) {
            RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
            assertThat(response.complete(), is(false));
            assertThat(response.body(), is(FIRST + SECOND));
        }
    }

    /** Guards against a stream without any event that passes for a complete one. */
    @Test
    void emptyStreamThatIsNotResumedIsNotComplete() throws Exception {
        for (Framing framing : Framing.values()) {
            try (ForwardingHarness harness = emptyStreams(framing)) {
                RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
                assertThat(response.status(), is(502));
                assertThat(harness.second().requests(), hasSize(1));
            }
        }
    }

    /** The first upstream closes the connection after both events, the second has no more. */
    private static ForwardingHarness cutBeforeLastChunk(Framing second) throws Exception {
        List<String> parts = List.of(FIRST, SECOND);
        return new ForwardingHarness(
                received -> {
                    String id = ForwardingHarness.requestId(received);
                    String body = Framing.CHUNKS.body(parts);
                    return new Answer(
                            CutAnswer.head(Framing.CHUNKS, id, parts)
                                    + body.substring(0, body.length() - LAST_CHUNK_BYTES),
                            Ending.CLOSE_SENDING);
                },
                received -> answer(received, second, List.of()));
    }

    private static ForwardingHarness emptyStreams(Framing framing) throws Exception {
        return new ForwardingHarness(
                received -> answer(received, framing, List.of()),
                received -> answer(received, framing, List.of()));
    }

    private static Answer answer(Received received, Framing framing, List<String> parts) {
        String head = CutAnswer.head(framing, ForwardingHarness.requestId(received), parts);
        Ending ending = framing.endsWithConnection() ? Ending.CLOSE_SENDING : Ending.KEEP_OPEN;
        return new Answer(head + framing.body(parts), ending);
    }
}
