package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Resumed streams whose next events come twice, too few, or at an unknown place. */
final class ResumedEventsTest {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String THIRD = "id: 3\ndata: c\n\n";

    /** Guards against events whose place in a resumed stream isn't known. */
    @Test
    void eventsWithoutIdsDoNotContinueStreams() throws Exception {
        assertAborted(List.of("data: c\n\n"));
        assertAborted(List.of("event: error\ndata: c\n\n", THIRD));
        assertAborted(List.of("id: x\ndata: c\n\n"));
    }

    /** Guards against events that come twice, though the next upstream begins at the start. */
    @Test
    void repeatedEventsAreNotForwarded() throws Exception {
        try (ForwardingHarness harness =
                resumed(List.of(FIRST, "data: x\n\n", SECOND, "data: y\n\n", THIRD))) {
            RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
            assertThat(response.body(), is(FIRST + SECOND + "data: y\n\n" + THIRD));
            assertThat(response.complete(), is(true));
        }
    }

    /** Guards against a stream that ends as complete with an earlier event. */
    @Test
    void answerThatEndsBeforeTheLastEventOfTheCallerIsNotComplete() throws Exception {
        assertAborted(List.of(FIRST));
        try (ForwardingHarness harness = resumed(List.of(FIRST, SECOND))) {
            RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
            assertThat(response.toString(), is("200 complete " + escaped(FIRST + SECOND)));
        }
    }

    /** Guards against a stream without ids that begins once more inside itself. */
    @Test
    void streamWithoutIdsIsNotResumed() throws Exception {
        String event = "data: a\n\n";
        for (List<String> sent : List.of(List.of(event), List.of(FIRST, event))) {
            try (ForwardingHarness harness =
                    new ForwardingHarness(
                            received -> cut(received, sent), received -> answer(received, sent))) {
                RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
                assertThat(response.toString(), response.body(), is(String.join("", sent)));
                assertThat(response.complete(), is(false));
            }
        }
    }

    /** Guards against comments that are taken for events without ids. */
    @Test
    void commentsDoNotKeepStreamsFromBeingResumed() throws Exception {
        String comment = ": keep-alive\n\n";
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> cut(received, List.of(comment, FIRST, comment)),
                        received -> answer(received, List.of(comment, SECOND)))) {
            RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
            assertThat(response.body(), is(comment + FIRST + comment + comment + SECOND));
            assertThat(response.complete(), is(true));
        }
    }

    /** Guards against a cut answer of comments that is taken for the rest of the stream. */
    @Test
    void commentsAloneAreNotTheEndOfAnswersThatEndWithTheirConnection() throws Exception {
        List<String> comment = List.of(": keep-alive\n\n");
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> cut(received, List.of(FIRST, SECOND)),
                        received ->
                                new Answer(
                                        CutAnswer.head(
                                                        Framing.NONE,
                                                        ForwardingHarness.requestId(received),
                                                        comment)
                                                + Framing.NONE.body(comment),
                                        Ending.CLOSE_SENDING))) {
            RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
            assertThat(response.toString(), response.complete(), is(false));
        }
    }

    private static void assertAborted(List<String> parts) throws Exception {
        try (ForwardingHarness harness = resumed(parts)) {
            RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
            assertThat(response.toString(), response.body(), is(FIRST + SECOND));
            assertThat(response.complete(), is(false));
        }
    }

    private static ForwardingHarness resumed(List<String> parts) throws Exception {
        return new ForwardingHarness(
                received -> cut(received, List.of(FIRST, SECOND)),
                received -> answer(received, parts));
    }

    private static String escaped(String text) {
        return text.replace("\n", "\\n");
    }

    /** Returns an answer that ends inside its last event. */
    private static Answer cut(Received received, List<String> parts) {
        String last = "id: 9\ndata: z";
        List<String> whole = List.of(String.join("", parts), last);
        String body = Framing.CHUNKS.body(whole);
        return new Answer(
                CutAnswer.head(Framing.CHUNKS, ForwardingHarness.requestId(received), whole)
                        + body.substring(0, body.indexOf(last) + last.length()),
                Ending.CLOSE_SENDING);
    }

    private static Answer answer(Received received, List<String> parts) {
        return new Answer(
                CutAnswer.head(Framing.CHUNKS, ForwardingHarness.requestId(received), parts)
                        + Framing.CHUNKS.body(parts),
                Ending.KEEP_OPEN);
    }
}
