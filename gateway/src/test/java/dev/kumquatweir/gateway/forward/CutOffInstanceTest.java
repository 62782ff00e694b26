package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
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
            long runs =
                    Stream.concat(
                                    other.first().requests().stream(),
                                    other.second().requests().stream())
                            .count();
            assertThat("runs", runs, greaterThanOrEqualTo((long) REQUESTS));
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
