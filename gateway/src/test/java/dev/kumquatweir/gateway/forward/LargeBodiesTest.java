package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/** Guards against an instance that runs out of memory when large bodies come at once. */
final class LargeBodiesTest {
    private static final int BODIES = 40;
    private static final int BODY_BYTES = 4 << 20;
    private static final long ANSWER_MILLIS = 300;
    private static final List<String> BODY = List.of("body");

    /** The memory of the harness holds four of these bodies. */
    @Test
    void bodiesThatDoNotFitAreRefusedAsNotExecutedAndShortOnesGoOn() throws Exception {
        String large = "x".repeat(BODY_BYTES);
        try (ForwardingHarness harness =
                        new ForwardingHarness(LargeBodiesTest::late, LargeBodiesTest::late);
                ExecutorService callers = Executors.newFixedThreadPool(BODIES)) {
            List<Future<RawCaller.Response>> responses = new ArrayList<>();
            for (int number = 0; number < BODIES; number++) {
                String id = "large-" + number;
                responses.add(
                        callers.submit(() -> harness.call(ForwardingHarness.ONCE, id, "", large)));
            }
            List<Integer> shortStatuses = new ArrayList<>();
            for (int number = 0; number < 10; number++) {
                shortStatuses.add(
                        harness.call(ForwardingHarness.IDEMPOTENT, "short-" + number).status());
            }
            assertThat(shortStatuses, everyItem(is(200)));
            List<Integer> statuses = new ArrayList<>();
            for (Future<RawCaller.Response> response : responses) {
                statuses.add(response.get().status());
            }
            long answered = statuses.stream().filter(status -> status == 200).count();
            long executed =
                    harness.first().requests().stream()
                            .filter(
                                    received ->
                                            ForwardingHarness.requestId(received)
                                                    .startsWith("large"))
                            .count();
            assertThat(answered, is(executed));
            assertThat(answered, greaterThan(0L));
            assertThat(statuses, hasItem(503));
            assertThat(harness.requestBytes(), is(0L));
        }
    }

    private static Answer late(Received received) {
        return new Answer(
                "",
                ANSWER_MILLIS,
                CutAnswer.head(Framing.LENGTH, ForwardingHarness.requestId(received), BODY)
                        + Framing.LENGTH.body(BODY));
    }
}
