package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Streams that have begun and break off, and of which the next upstream sends something other than
 * the events that follow.
 */
final class ErrorInsideStreamTest {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String LATER_HEAD =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed\n\n";
    private static final int LAST_CHUNK_BYTES = 5;

    private static final List<String> CALLER_VERSIONS = List.of("HTTP/1.0", "HTTP/1.1");
    private static final List<String> CALLER_CONNECTIONS =
            List.of("", "Connection: close\r\n", "Connection: keep-alive\r\n");

    /** Guards against the text of an error inside a stream, and an abort that looks complete. */
    @Test
    void errorOfTheNextUpstreamAbortsTheStream() throws Exception {
        for (int status : List.of(301, 404, 409, 421, 429, 500, 503)) {
            for (Framing framing : Framing.values()) {
                assertAborted(Framing.CHUNKS, status, framing, List.of("failed\n\n"));
            }
        }
    }

    /** Guards against a framing of the first upstream that hides the abort. */
    @Test
    void abortIsSeenWhateverTheFramingOfTheFirstUpstream() throws Exception {
        for (Framing first : Framing.values()) {
            if (!first.endsWithConnection()) {
                assertAborted(first, 500, Framing.LENGTH, List.of("failed"));
            }
        }
    }

    /** Guards against a body that is no event stream inside one. */
    @Test
    void successThatIsNoEventStreamAbortsTheStream() throws Exception {
        for (Framing framing : Framing.values()) {
            for (String body :
                    List.of(
                            "failed",
                            "failed\n\n",
                            "error: out of memory\n\n",
                            "{\"error\": \"failed\"}\r\n\r\n",
                            "<p>failed</p>\n\nid: 2\ndata: b\n\n",
                            LATER_HEAD)) {
                assertAborted(Framing.CHUNKS, 200, framing, List.of(body));
            }
        }
    }

    /** Guards against the head of a second answer inside the body of the first. */
    @Test
    void headInsideTheBodyIsNotForwarded() throws Exception {
        for (Framing framing : Framing.values()) {
            for (String start : List.of("", "id: 2\ndata: pie")) {
                try (ForwardingHarness harness =
                        new ForwardingHarness(
                                received ->
                                        answer(
                                                received,
                                                200,
                                                framing,
                                                List.of(FIRST, start + LATER_HEAD)),
                                received ->
                                        answer(received, 200, Framing.CHUNKS, List.of(SECOND)))) {
                    RawCaller.Response response =
                            harness.call(ForwardingHarness.RESUMABLE, "request");
                    assertThat(response.toString(), response.body(), is(FIRST + SECOND));
                    assertThat(response.complete(), is(true));
                    RawCaller.Response once =
                            harness.call(ForwardingHarness.STREAM_ONCE, "another");
                    assertThat(once.toString(), once.body(), is(FIRST));
                    assertThat(once.complete(), is(false));
                }
            }
        }
    }

    /** Guards against a stream that ends as complete with an answer of another kind. */
    @Test
    void emptyAnswerOfAnotherTypeIsNotTheEndOfTheStream() throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> cut(received, Framing.CHUNKS),
                        received ->
                                new Answer(
                                        Framing.LENGTH.head(
                                                200,
                                                PlainDialect.REQUEST_ID
                                                        + ": "
                                                        + ForwardingHarness.requestId(received)
                                                        + "\r\nContent-Type: text/html\r\n",
                                                List.of()),
                                        Ending.KEEP_OPEN))) {
            RawCaller.Response response = harness.call(ForwardingHarness.RESUMABLE, "request");
            assertThat(response.toString(), response.body(), is(FIRST + SECOND));
            assertThat(response.complete(), is(false));
        }
    }

    private static void assertAborted(Framing first, int status, Framing next, List<String> parts)
            throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> cut(received, first),
                        received -> answer(received, status, next, parts))) {
            int number = 0;
            for (String version : CALLER_VERSIONS) {
                for (String connection : CALLER_CONNECTIONS) {
                    number++;
                    RawCaller.Response response =
                            harness.send(
                                    "POST " + ForwardingHarness.RESUMABLE + " " + version + "\r\n",
                                    "request-" + number,
                                    connection,
                                    "");
                    String tried =
                            String.join(
                                    " ",
                                    List.of(
                                            first.name(),
                                            Integer.toString(status),
                                            next.name(),
                                            parts.toString(),
                                            version,
                                            connection,
                                            response.toString()));
                    assertThat(tried, response.body(), is(FIRST + SECOND));
                    assertThat(tried, response.complete(), is(false));
                    assertThat(tried, harness.second().requests(), hasSize(number));
                }
            }
        }
    }

    private static Answer cut(Received received, Framing framing) {
        return cut(received, framing, List.of(FIRST, SECOND));
    }

    /** Returns an answer that lacks its last bytes. */
    private static Answer cut(Received received, Framing framing, List<String> parts) {
        List<String> whole = List.of(String.join("", parts), "id: 9\ndata: z\n\n");
        String body = framing.body(whole);
        int end = body.length() - (framing == Framing.CHUNKS ? LAST_CHUNK_BYTES + 3 : 1);
        return new Answer(
                CutAnswer.head(framing, ForwardingHarness.requestId(received), whole)
                        + body.substring(0, end),
                Ending.CLOSE_SENDING);
    }

    private static Answer answer(
            Received received, int status, Framing framing, List<String> parts) {
        String id = PlainDialect.REQUEST_ID + ": " + ForwardingHarness.requestId(received) + "\r\n";
        Ending ending = framing.endsWithConnection() ? Ending.CLOSE_SENDING : Ending.KEEP_OPEN;
        return new Answer(framing.head(status, id, parts) + framing.body(parts), ending);
    }
}
