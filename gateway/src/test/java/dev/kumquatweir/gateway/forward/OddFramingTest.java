package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Answers whose framing is unusual or contradictory, cut at each byte. None of them may reach the
 * caller as whole unless all of it has come.
 */
final class OddFramingTest {
    private static final String CONTENT = "id: 1\ndata: a\n\n";
    private static final String CHUNK = "f\r\n" + CONTENT + "\r\n";
    private static final long PAUSE_MILLIS = 200;
    private static final List<Ending> ENDINGS = List.of(Ending.CLOSE_SENDING, Ending.RESET_LATER);

    /** Guards against an answer cut in its trailers that looks whole. */
    @Test
    void cutInTheTrailersIsNotWhole() throws Exception {
        assertOnlyWholeIsWhole("Transfer-Encoding: chunked\r\n", CHUNK + "0\r\nT: v\r\n\r\n");
    }

    /** Guards against an answer cut in the extension of a chunk that looks whole. */
    @Test
    void cutInChunkExtensionsIsNotWhole() throws Exception {
        assertOnlyWholeIsWhole(
                "Transfer-Encoding: chunked\r\n", "f;a=b\r\n" + CONTENT + "\r\n0;c=d\r\n\r\n");
    }

    /** Guards against an answer cut after an interim head that looks whole. */
    @Test
    void cutAfterAnInterimHeadIsNotWhole() throws Exception {
        for (String interim :
                List.of(
                        "HTTP/1.1 100 Continue\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")) {
            List<String> wrong = new ArrayList<>();
            String head = interim + head("Content-Length: " + CONTENT.length() + "\r\n");
            for (int length = 0; length < head.length() + CONTENT.length(); length += 7) {
                String sent = (head + CONTENT).substring(0, length);
                collectWrong(wrong, sent, Ending.CLOSE_SENDING);
            }
            assertThat(wrong, is(empty()));
        }
    }

    /** Guards against an answer with a length and chunks of which one counts as the end. */
    @Test
    void lengthBesideChunksDoesNotEndTheAnswer() throws Exception {
        for (int size : List.of(0, 5, CONTENT.length(), 1_000)) {
            String both = "Content-Length: " + size + "\r\nTransfer-Encoding: chunked\r\n";
            List<String> wrong = new ArrayList<>();
            for (int length = 0; length < CHUNK.length(); length += 3) {
                collectWrong(wrong, head(both) + CHUNK.substring(0, length), Ending.CLOSE_SENDING);
            }
            assertThat(wrong, is(empty()));
        }
    }

    /** Guards against an answer whose two lengths differ and that is passed on as whole. */
    @Test
    void differingLengthsAreNotWhole() throws Exception {
        List<String> wrong = new ArrayList<>();
        for (String lengths :
                List.of(
                        "Content-Length: 15\r\nContent-Length: 5\r\n",
                        "Content-Length: 5\r\nContent-Length: 15\r\n",
                        "Content-Length: 15, 5\r\n",
                        "Content-Length: 0\r\nContent-Length: 15\r\n",
                        "Content-Length: -1\r\n",
                        "Content-Length: many\r\n")) {
            collectWrong(wrong, head(lengths) + CONTENT, Ending.CLOSE_SENDING);
        }
        assertThat(wrong, is(empty()));
    }

    /** Guards against a pause inside an answer that is taken for its end. */
    @Test
    void pauseInsideAnAnswerIsNotItsEnd() throws Exception {
        String whole = head("Content-Length: " + CONTENT.length() + "\r\n") + CONTENT;
        for (int length :
                List.of(9, 20, whole.length() - CONTENT.length() - 2, whole.length() - 1)) {
            Answer answer =
                    new Answer(whole.substring(0, length), PAUSE_MILLIS, whole.substring(length));
            try (ForwardingHarness harness = new ForwardingHarness(any -> answer, any -> answer)) {
                for (String route :
                        List.of(ForwardingHarness.ONCE, ForwardingHarness.STREAM_ONCE)) {
                    RawCaller.Response response = harness.call(route, "request");
                    assertThat(response.toString(), response.body(), is(CONTENT));
                    assertThat(response.complete(), is(true));
                }
            }
        }
    }

    private static void assertOnlyWholeIsWhole(String framing, String body) throws Exception {
        List<String> wrong = new ArrayList<>();
        for (Ending ending : ENDINGS) {
            for (int length : IntStream.range(0, body.length()).toArray()) {
                collectWrong(wrong, head(framing) + body.substring(0, length), ending);
            }
        }
        assertThat(wrong, is(empty()));
        Answer whole = new Answer(head(framing) + body, Ending.KEEP_OPEN);
        try (ForwardingHarness harness = new ForwardingHarness(any -> whole, any -> whole)) {
            RawCaller.Response response = harness.call(ForwardingHarness.ONCE, "request");
            assertThat(response.body(), is(CONTENT));
            assertThat(response.complete(), is(true));
        }
    }

    /** Adds the answers that reach a caller as whole, of a call and of a stream. */
    private static void collectWrong(List<String> wrong, String sent, Ending ending)
            throws Exception {
        Answer answer = new Answer(sent, ending);
        try (ForwardingHarness harness = new ForwardingHarness(any -> answer, any -> answer)) {
            for (String route : List.of(ForwardingHarness.ONCE, ForwardingHarness.STREAM_ONCE)) {
                RawCaller.Response response = harness.call(route, "request");
                if (response.complete() && response.status() != 502) {
                    wrong.add(ending + " " + sent + " -> " + response);
                }
            }
        }
    }

    private static String head(String headers) {
        return "HTTP/1.1 200 OK\r\n" + PlainDialect.REQUEST_ID + ": request\r\n" + headers + "\r\n";
    }
}
