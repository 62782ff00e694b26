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
import org.junit.jupiter.api.Test;

/** Answers of upstreams whose status line names no status of HTTP. */
final class OddStatusTest {
    private static final List<String> STATUSES =
            List.of("000", "0", "99", "099", "1000", "600", "999", "-200", "2OO", "", "20", "0200");
    private static final List<String> PARTS = List.of("id: 1\ndata: a\n\n");
    private static final String BODY = String.join("", PARTS);
    private static final List<String> ROUTES =
            List.of(
                    ForwardingHarness.ONCE,
                    ForwardingHarness.IDEMPOTENT,
                    ForwardingHarness.STREAM_ONCE,
                    ForwardingHarness.RESUMABLE);

    /**
     * Guards against an answer with such a status, as an upstream in trouble sends it, that callers
     * get as an answer. What may be repeated is sent to the other upstream, the rest fails.
     */
    @Test
    void answerWithoutStatusIsNotPassedOn() throws Exception {
        for (String status : STATUSES) {
            for (String route : ROUTES) {
                for (Ending ending : List.of(Ending.KEEP_OPEN, Ending.CLOSE_SENDING)) {
                    check(status, route, ending);
                }
            }
        }
    }

    private static void check(String status, String route, Ending ending) throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> odd(received, status, ending), OddStatusTest::sound)) {
            RawCaller.Response response = harness.call(route, "request");
            boolean repeatable =
                    List.of(ForwardingHarness.IDEMPOTENT, ForwardingHarness.RESUMABLE)
                            .contains(route);
            String told = "status '" + status + "' " + route + " " + ending + ": " + response;
            if (repeatable) {
                assertThat(told, response.complete() && response.status() == 200, is(true));
                assertThat(told, response.body(), is(BODY));
            } else {
                assertThat(told, response.status(), is(502));
                assertThat(told, harness.second().requests(), is(empty()));
            }
            assertThat(told, harness.first().requests(), hasSize(1));
        }
    }

    private static Answer odd(Received received, String status, Ending ending) {
        String head =
                CutAnswer.head(
                                ending == Ending.KEEP_OPEN ? Framing.LENGTH : Framing.NONE,
                                ForwardingHarness.requestId(received),
                                PARTS)
                        .replaceFirst(" 200 ", " " + status + " ");
        return new RawUpstream.Answer(head + BODY, ending);
    }

    private static Answer sound(Received received) {
        String head = CutAnswer.head(Framing.LENGTH, ForwardingHarness.requestId(received), PARTS);
        return new RawUpstream.Answer(head + BODY, Ending.KEEP_OPEN);
    }
}
