package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against an instance that runs out of memory while it reads an answer without end. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
final class EndlessAnswerTest {
    private static final int BAD_GATEWAY = 502;
    private static final String FILLER = "x".repeat(1_000);
    private static final List<String> WHOLE = List.of("whole");

    /** The place at which an answer has no end. */
    private enum Place {
        BODY(Framing.NONE.head(200, "", List.of()), FILLER),
        BODY_OF_A_FAILURE(Framing.NONE.head(500, "", List.of()), FILLER),
        CHUNKS(Framing.CHUNKS.head(200, "", List.of()), "1\r\nx\r\n".repeat(200)),
        HEADERS(
                "HTTP/1.1 200 Status\r\n",
                ("Filler: " + FILLER.substring(0, 100) + "\r\n").repeat(12)),
        HEADER("HTTP/1.1 200 Status\r\nFiller: ", FILLER),
        STATUS_LINE("HTTP/1.1 200 ", FILLER),
        INTERIM_HEADS("", "HTTP/1.1 102 Processing\r\n\r\n".repeat(50)),
        TRAILERS(
                Framing.CHUNKS.head(200, "", List.of()) + "1\r\nx\r\n0\r\n",
                ("Filler: " + FILLER.substring(0, 100) + "\r\n").repeat(12));

        private final String mStart;
        private final String mRepeated;

        Place(String start, String repeated) {
            mStart = start;
            mRepeated = repeated;
        }

        Answer answer(Received received) {
            String id = PlainDialect.REQUEST_ID + ": " + ForwardingHarness.requestId(received);
            int line = mStart.indexOf("\r\n") + 2;
            String start =
                    line < 2
                            ? mStart
                            : mStart.substring(0, line) + id + "\r\n" + mStart.substring(line);
            return new Answer(start + mRepeated, Ending.WITHOUT_END);
        }
    }

    static Stream<Place> places() {
        return Stream.of(Place.values());
    }

    @ParameterizedTest
    @MethodSource("places")
    void callThatRunsOnceFailsAndItsUpstreamIsStopped(Place place) throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(place::answer, EndlessAnswerTest::whole)) {
            RawCaller.Response response = harness.call(ForwardingHarness.ONCE, "once");
            assertThat(response.status(), is(BAD_GATEWAY));
            assertThat(harness.second().requests(), is(empty()));
            assertClosed(harness.first());
        }
    }

    @ParameterizedTest
    @MethodSource("places")
    void repeatableCallIsAnsweredByTheNextUpstream(Place place) throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(place::answer, EndlessAnswerTest::whole)) {
            RawCaller.Response response = harness.call(ForwardingHarness.IDEMPOTENT, "again");
            assertThat(response.toString(), is("200 complete whole"));
            assertClosed(harness.first());
        }
    }

    /** Guards against a refusal whose body is read for good. */
    @ParameterizedTest
    @MethodSource("refusals")
    void refusalWithoutEndClosesItsConnection(Framing framing) throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received ->
                                new Answer(
                                        framing.head(
                                                        503,
                                                        PlainDialect.NOT_EXECUTED + ": 1\r\n",
                                                        List.of())
                                                + (framing == Framing.CHUNKS
                                                        ? "1\r\nx\r\n".repeat(200)
                                                        : FILLER),
                                        Ending.WITHOUT_END),
                        EndlessAnswerTest::whole)) {
            RawCaller.Response response = harness.call(ForwardingHarness.ONCE, "refused");
            assertThat(response.toString(), is("200 complete whole"));
            assertClosed(harness.first());
        }
    }

    static Stream<Framing> refusals() {
        return Stream.of(Framing.NONE, Framing.CHUNKS);
    }

    /** Guards against bytes past the length of an answer that keep their connection busy. */
    @ParameterizedTest
    @MethodSource("routes")
    void bytesPastTheLengthCloseTheConnection(String route) throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received ->
                                new Answer(whole(received).bytes() + FILLER, Ending.WITHOUT_END),
                        EndlessAnswerTest::whole)) {
            assertThat(harness.call(route, "past").toString(), is("200 complete whole"));
            assertClosed(harness.first());
        }
    }

    static Stream<String> routes() {
        return Stream.of(ForwardingHarness.ONCE, ForwardingHarness.IDEMPOTENT);
    }

    private static Answer whole(Received received) {
        return new Answer(
                CutAnswer.head(Framing.LENGTH, ForwardingHarness.requestId(received), WHOLE)
                        + Framing.LENGTH.body(WHOLE),
                Ending.KEEP_OPEN);
    }

    private static void assertClosed(RawUpstream upstream) throws InterruptedException {
        for (int wait = 0; wait < 100 && upstream.closedByPeer().isEmpty(); wait++) {
            Thread.sleep(100);
        }
        assertThat(upstream.closedByPeer(), hasSize(1));
    }
}
