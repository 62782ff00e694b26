package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Answers that have neither a length nor chunks and end with their connection. */
final class UnframedAnswerTest {
    private static final int CALLS = 200;
    private static final int PARALLEL = 8;
    private static final List<String> BODY = List.of("whole", " body");
    private static final String TEXT = String.join("", BODY);

    /** Longer than a connection takes from the kernel at once. */
    private static final int LARGE_BODY_BYTES = 6 << 20;

    /**
     * Guards against requests sent on a connection that the upstream has ended: they fail, and a
     * call that may not be repeated is lost.
     */
    @Test
    void connectionOfUnframedAnswerIsNotUsedAgain() throws Exception {
        for (Framing framing : unframed()) {
            try (ForwardingHarness harness =
                            new ForwardingHarness(
                                    received -> answer(received, framing, Ending.CLOSE_SENDING),
                                    received -> answer(received, framing, Ending.CLOSE_SENDING));
                    ExecutorService callers = Executors.newFixedThreadPool(PARALLEL)) {
                List<Future<RawCaller.Response>> responses = new ArrayList<>();
                for (int number = 0; number < CALLS; number++) {
                    String id = "request-" + number;
                    responses.add(
                            callers.submit(() -> harness.call(ForwardingHarness.IDEMPOTENT, id)));
                }
                for (Future<RawCaller.Response> response : responses) {
                    assertThat(response.get().body(), is(TEXT));
                }
                assertThat(framing.name(), harness.first().reused(), is(empty()));
                assertThat(framing.name(), harness.second().requests(), is(empty()));
            }
        }
    }

    /** Guards against a second send, or a failure, when the upstream has closed at once. */
    @Test
    void answersThatEndWithTheirConnectionAreWhole() throws Exception {
        for (Framing framing : unframed()) {
            try (ForwardingHarness harness =
                    sameAnswer(received -> answer(received, framing, Ending.CLOSE))) {
                for (String route : List.of(ForwardingHarness.ONCE, ForwardingHarness.IDEMPOTENT)) {
                    for (int number = 0; number < 10; number++) {
                        RawCaller.Response response = harness.call(route, "request-" + number);
                        assertThat(response.toString(), is("200 complete " + TEXT));
                    }
                }
                assertThat(harness.first().requests(), hasSize(20));
                assertThat(harness.second().requests(), is(empty()));
            }
        }
    }

    /** Guards against an unframed answer that is cut, or never ends, on a reused connection. */
    @Test
    void unframedAnswerOnReusedConnectionIsWhole() throws Exception {
        for (Ending ending : List.of(Ending.CLOSE_SENDING, Ending.RESET_LATER)) {
            try (ForwardingHarness harness =
                    new ForwardingHarness(
                            received ->
                                    ForwardingHarness.requestId(received).equals("framed")
                                            ? answer(received, Framing.LENGTH, Ending.KEEP_OPEN)
                                            : answer(received, Framing.NONE, ending),
                            received -> answer(received, Framing.LENGTH, Ending.KEEP_OPEN))) {
                harness.call(ForwardingHarness.IDEMPOTENT, "framed");
                RawCaller.Response response =
                        harness.call(ForwardingHarness.IDEMPOTENT, "unframed");
                assertThat(response.toString(), is("200 complete " + TEXT));
                assertThat(
                        harness.first().requests().stream().map(Received::connection).toList(),
                        everyItem(is(0)));
                assertThat(
                        harness.second().requests(), hasSize(ending == Ending.RESET_LATER ? 1 : 0));
            }
        }
    }

    /**
     * Guards against a reset that is taken for the end of the answer while the request is still
     * being written, when the connection also fails for writing.
     */
    @Test
    void unframedAnswerBeforeTheRequestIsReadIsCutByReset() throws Exception {
        String large = "x".repeat(LARGE_BODY_BYTES);
        for (Ending ending : List.of(Ending.RESET, Ending.RESET_LATER, Ending.CLOSE)) {
            for (String route : List.of(ForwardingHarness.ONCE, ForwardingHarness.STREAM_ONCE)) {
                List<String> parts = List.of("id: 1\ndata: a\n\n");
                try (ForwardingHarness harness =
                        sameAnswer(
                                received ->
                                        new Answer(
                                                CutAnswer.head(
                                                                Framing.NONE,
                                                                ForwardingHarness.requestId(
                                                                        received),
                                                                parts)
                                                        + Framing.NONE.body(parts),
                                                ending,
                                                true))) {
                    RawCaller.Response response = harness.call(route, "large", "", large);
                    boolean failed = !response.complete() || response.status() == 502;
                    assertThat(ending + route + response, failed, is(true));
                    assertThat(harness.second().requests(), is(empty()));
                }
            }
        }
    }

    /** Guards against waiting for a body that an answer can't have. */
    @Test
    void answerWithoutBodyEndsWithItsHead() throws Exception {
        for (int status : List.of(204, 304)) {
            try (ForwardingHarness harness =
                    sameAnswer(
                            received ->
                                    new Answer(
                                            Framing.NONE.head(status, header(received), List.of()),
                                            Ending.KEEP_OPEN))) {
                for (String id : List.of("request-1", "request-2")) {
                    RawCaller.Response response = harness.call(ForwardingHarness.IDEMPOTENT, id);
                    assertThat(response.status(), is(status));
                }
                assertThat(
                        harness.first().requests().stream().map(Received::connection).toList(),
                        is(List.of(0, 0)));
            }
        }
    }

    private static List<Framing> unframed() {
        return Arrays.stream(Framing.values()).filter(Framing::endsWithConnection).toList();
    }

    private static ForwardingHarness sameAnswer(Function<Received, Answer> script)
            throws Exception {
        return new ForwardingHarness(script, script);
    }

    private static Answer answer(Received received, Framing framing, Ending ending) {
        return new Answer(framing.head(200, header(received), BODY) + framing.body(BODY), ending);
    }

    private static String header(RawUpstream.Received received) {
        return PlainDialect.REQUEST_ID + ": " + ForwardingHarness.requestId(received) + "\r\n";
    }
}
