package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.gateway.raw.Framing;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import dev.kumquatweir.policy.placement.LimitNotice;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Upstreams that say in their responses that they leave, or that they want a pause. */
final class AvoidedUpstreamsTest {
    private static final UpstreamId UPSTREAM = new UpstreamId("i-1");
    private static final long START_MILLIS = 99;

    private final AvoidedUpstreams mAvoided = new AvoidedUpstreams();

    /** Guards against requests to an upstream that leaves, and against losing its next start. */
    @Test
    void leavingUpstreamIsAvoidedUntilItStartsAgain() {
        mAvoided.record(UPSTREAM, head(true, 0), START_MILLIS, 0);
        assertThat(mAvoided.avoids(UPSTREAM, START_MILLIS, TimeUnit.HOURS.toNanos(1)), is(true));
        assertThat(mAvoided.avoided(upstream -> START_MILLIS, 0), is(Set.of(UPSTREAM)));
        assertThat(mAvoided.avoids(UPSTREAM, START_MILLIS + 1, 0), is(false));
        mAvoided.expire(Set.of(), 0);
        assertThat(mAvoided.avoided(upstream -> START_MILLIS, 0), is(empty()));
    }

    /** Guards against requests within a pause, and against a shorter one that cuts it. */
    @Test
    void pauseLastsAsLongAsTheLongestOneAskedFor() {
        mAvoided.record(UPSTREAM, head(false, 2_000), START_MILLIS, millis(0));
        mAvoided.record(UPSTREAM, head(false, 100), START_MILLIS, millis(500));
        assertThat(mAvoided.avoids(UPSTREAM, START_MILLIS, millis(1_999)), is(true));
        assertThat(mAvoided.avoids(UPSTREAM, START_MILLIS, millis(2_000)), is(false));
        assertThat(mAvoided.avoided(upstream -> 0, millis(2_000)), is(empty()));
    }

    @Test
    void otherUpstreamGetsTheRequestsAfterLeavingResponse() throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> answer(received, 200, PlainDialect.LEAVING + ": 1\r\n"),
                        received -> answer(received, 200, ""))) {
            for (String id : List.of("first", "second", "third")) {
                assertThat(harness.call(ForwardingHarness.ONCE, id).status(), is(200));
            }
            assertThat(harness.first().requests(), hasSize(1));
            assertThat(harness.second().requests(), hasSize(2));
        }
    }

    @Test
    void refusingUpstreamGetsNothingDuringItsPause() throws Exception {
        String refusal = PlainDialect.NOT_EXECUTED + ": 1\r\n" + PlainDialect.PAUSE_MILLIS;
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> answer(received, 503, refusal + ": 60000\r\n"),
                        received -> answer(received, 200, ""))) {
            for (String id : List.of("first", "second", "third")) {
                assertThat(harness.call(ForwardingHarness.ONCE, id).status(), is(200));
            }
            assertThat(harness.first().requests(), hasSize(1));
            assertThat(harness.second().requests(), hasSize(3));
        }
    }

    private static Answer answer(Received received, int status, String headers) {
        List<String> body = List.of("body");
        String id = PlainDialect.REQUEST_ID + ": " + ForwardingHarness.requestId(received);
        return new Answer(
                Framing.LENGTH.head(status, id + "\r\n" + headers, body)
                        + Framing.LENGTH.body(body),
                Ending.KEEP_OPEN);
    }

    private static UpstreamResponseHead head(boolean leaving, long pauseMillis) {
        return new UpstreamResponseHead(
                200,
                Optional.empty(),
                false,
                false,
                "",
                leaving,
                pauseMillis,
                new LimitNotice.None());
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
