package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** An instance that reaches no upstream, beside one that does. */
final class CutOffInstanceTest {
    private static final int REQUESTS = 30;

    /** The rule counts from this time after the beginning of the cut. */
    private static final long CONTACT_MILLIS = 3_000;

    /** Guards against callers of a cut-off instance that are served far worse than others. */
    @Test
    void callersAreServedByAnotherInstance() throws Exception {
        try (ForwardingHarness other = sound(List.of());
                ForwardingHarness cutOff = sound(List.of(other.callerAddress()))) {
            assertThat(cutOff.call(ForwardingHarness.ONCE, "before").status(), is(200));
            cutOff.cutOffFromUpstreams();
            awaitCutOff(cutOff);
            long served = 0;
            for (int number = 0; number < REQUESTS; number++) {
                String route =
                        List.of(ForwardingHarness.ONCE, ForwardingHarness.IDEMPOTENT)
                                .get(number % 2);
                served += cutOff.call(route, "request-" + number).status() == 200 ? 1 : 0;
            }
            assertThat(served, is((long) REQUESTS));
            for (int number = 0; number < REQUESTS; number++) {
                assertThat(received(other, "request-" + number), is(1L));
            }
        }
    }

    /** Guards against relayed responses that are changed, or cut and yet look complete. */
    @Test
    void relayedStreamsArriveWholeOrVisiblyCut() throws Exception {
        List<String> events = List.of("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n");
        try (ForwardingHarness other =
                        new ForwardingHarness(
                                received -> stream(received, events, false),
                                received -> stream(received, events, false));
                ForwardingHarness breaking =
                        new ForwardingHarness(
                                received -> stream(received, events, true),
                                received -> stream(received, events, true));
                ForwardingHarness cutOff = sound(List.of(other.callerAddress()));
                ForwardingHarness unlucky = sound(List.of(breaking.callerAddress()))) {
            for (ForwardingHarness harness : List.of(cutOff, unlucky)) {
                harness.cutOffFromUpstreams();
                awaitCutOff(harness);
            }
            RawCaller.Response whole = cutOff.call(ForwardingHarness.STREAM_ONCE, "whole");
            assertThat(whole.status(), is(200));
            assertThat(whole.complete(), is(true));
            assertThat(whole.body(), is(String.join("", events)));
            RawCaller.Response cut = unlucky.call(ForwardingHarness.STREAM_ONCE, "cut");
            assertThat(cut.toString(), cut.complete() && cut.status() == 200, is(false));
        }
    }

    /** Guards against a request that is sent to a second instance after the first may have it. */
    @Test
    void requestIsSentToOneInstanceThatCanBeConnectedTo() throws Exception {
        try (ForwardingHarness first =
                        new ForwardingHarness(
                                received -> new Answer("", Ending.RESET),
                                received -> new Answer("", Ending.RESET));
                ForwardingHarness second = sound(List.of());
                ForwardingHarness cutOff =
                        sound(
                                List.of(
                                        "127.0.0.1:1",
                                        first.callerAddress(),
                                        second.callerAddress()))) {
            cutOff.cutOffFromUpstreams();
            awaitCutOff(cutOff);
            RawCaller.Response response =
                    cutOff.call(ForwardingHarness.ONCE, "request", "", "body of the request");
            assertThat(response.status(), is(502));
            assertThat(received(first, "request"), is(1L));
            assertThat(received(second, "request"), is(0L));
        }
    }

    /** Guards against a request that travels between instances of which none reaches upstreams. */
    @Test
    void requestIsRelayedOnce() throws Exception {
        try (ForwardingHarness other = sound(List.of("127.0.0.1:1"));
                ForwardingHarness cutOff = sound(List.of(other.callerAddress()))) {
            cutOff.cutOffFromUpstreams();
            other.cutOffFromUpstreams();
            awaitCutOff(cutOff);
            awaitCutOff(other);
            long startNanos = System.nanoTime();
            RawCaller.Response response = cutOff.call(ForwardingHarness.ONCE, "request");
            assertThat(response.status(), is(503));
            assertThat(System.nanoTime() - startNanos, lessThan(TimeUnit.SECONDS.toNanos(2)));
        }
    }

    /** Sends requests until the instance knows that it is cut off. */
    private static void awaitCutOff(ForwardingHarness harness) throws IOException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS);
        for (int number = 0; !harness.cutOff() && System.nanoTime() < untilNanos; number++) {
            harness.call(ForwardingHarness.IDEMPOTENT, "lost-" + number);
        }
        assertThat("known to be cut off", harness.cutOff(), is(true));
    }

    /** Returns how often the upstreams of an instance got a request. */
    private static long received(ForwardingHarness harness, String requestId) {
        return Stream.of(harness.first(), harness.second())
                .flatMap(upstream -> upstream.requests().stream())
                .filter(request -> ForwardingHarness.requestId(request).equals(requestId))
                .count();
    }

    private static Answer stream(Received received, List<String> events, boolean cut) {
        String headers =
                PlainDialect.REQUEST_ID
                        + ": "
                        + ForwardingHarness.requestId(received)
                        + "\r\nContent-Type: text/event-stream\r\n";
        String head = Framing.CHUNKS.head(200, headers, events);
        String body = Framing.CHUNKS.body(events);
        return cut
                ? new Answer(head + body.substring(0, body.length() / 2), Ending.CLOSE)
                : new Answer(head + body, Ending.KEEP_OPEN);
    }

    private static ForwardingHarness sound(List<String> carriers) throws Exception {
        return new ForwardingHarness(
                CutOffInstanceTest::answer, CutOffInstanceTest::answer, carriers);
    }

    private static Answer answer(Received received) {
        List<String> body = List.of("body");
        String id = PlainDialect.REQUEST_ID + ": " + ForwardingHarness.requestId(received) + "\r\n";
        return new Answer(
                Framing.LENGTH.head(200, id, body) + Framing.LENGTH.body(body), Ending.KEEP_OPEN);
    }
}
