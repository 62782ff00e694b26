package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import dev.kumquatweir.policy.placement.PlacementRequest;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Times that the scheduler is told for callers with different time limits. */
final class CallerTimeLimitTest {
    /** Target latency and timeout of the routes of the harness. */
    private static final long TARGET_MILLIS = 1_000;

    private static final long TIMEOUT_MILLIS = 10_000;

    /**
     * Guards against taking a first attempt with a short time limit for a returning request: its
     * target was moved into the past by the difference to the longest limit on the route, and it
     * was placed without regard to the target.
     */
    @Test
    void targetDoesNotDependOnTimeLimit() throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(CallerTimeLimitTest::answer, CallerTimeLimitTest::answer)) {
            long startNanos = System.nanoTime();
            assertThat(call(harness, "request-1", 10_000), is(200));
            assertThat(call(harness, "request-2", 8_400), is(200));
            assertThat(call(harness, "request-3", 14_000), is(200));
            long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            List<PlacementRequest> placements = harness.placements();
            assertThat(placements.size(), is(3));
            for (PlacementRequest placement : placements) {
                long targetMillis =
                        TimeUnit.NANOSECONDS.toMillis(placement.targetNanos() - startNanos);
                assertThat(targetMillis, greaterThanOrEqualTo(TARGET_MILLIS));
                assertThat(targetMillis, lessThanOrEqualTo(TARGET_MILLIS + tookMillis));
            }
            assertThat(limitMillis(placements.get(1)), is(8_400L));
            assertThat(limitMillis(placements.get(2)), is(TIMEOUT_MILLIS));
        }
    }

    /** Returns the time from the arrival of a request to its deadline. */
    private static long limitMillis(PlacementRequest placement) {
        return TARGET_MILLIS
                + TimeUnit.NANOSECONDS.toMillis(
                        placement.deadlineNanos() - placement.targetNanos());
    }

    private static int call(ForwardingHarness harness, String id, long leftMillis)
            throws Exception {
        String limit = PlainDialect.REMAINING_MILLIS + ": " + leftMillis + "\r\n";
        return harness.call(ForwardingHarness.IDEMPOTENT, id, limit, "").status();
    }

    private static Answer answer(Received received) {
        return new Answer(
                "HTTP/1.1 200 OK\r\n"
                        + PlainDialect.REQUEST_ID
                        + ": "
                        + ForwardingHarness.requestId(received)
                        + "\r\nContent-Length: 0\r\n\r\n",
                Ending.KEEP_OPEN);
    }
}
