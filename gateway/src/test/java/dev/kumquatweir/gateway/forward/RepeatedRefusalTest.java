package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.raw.RawCaller;
import dev.kumquatweir.gateway.raw.RawUpstream;
import dev.kumquatweir.gateway.raw.RawUpstream.Answer;
import dev.kumquatweir.gateway.raw.RawUpstream.Ending;
import dev.kumquatweir.gateway.raw.RawUpstream.Received;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Upstreams that repeat an earlier refusal on a kept connection. */
final class RepeatedRefusalTest {
    private static final String REFUSAL =
            "HTTP/1.1 503 Full\r\n"
                    + PlainDialect.NOT_EXECUTED
                    + ": 1\r\nContent-Length: 4\r\n\r\nfull";
    private static final int FIRST_BYTES = 5;
    private static final long PAUSE_MILLIS = 50;
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** When the bytes of the refusal are sent. */
    private enum Timing {
        WITH_THE_ANSWER(REFUSAL.length(), 0),
        WHILE_IDLE(0, REFUSAL.length()),
        HALF_WITH_THE_ANSWER(REFUSAL.length() / 2, 0),
        FIRST_BYTES_WITH_THE_ANSWER(FIRST_BYTES, 0),
        FIRST_BYTE_WITH_THE_ANSWER(1, 0),
        HALF_WHILE_IDLE(0, REFUSAL.length() / 2),
        FIRST_BYTES_WHILE_IDLE(0, FIRST_BYTES),
        AFTER_THE_NEXT_REQUEST(0, 0);

        private final int mWithAnswer;
        private final int mWhileIdle;

        Timing(int withAnswer, int whileIdle) {
            mWithAnswer = withAnswer;
            mWhileIdle = whileIdle;
        }

        Answer answer(Received received) {
            boolean earlier = ForwardingHarness.requestId(received).equals("request-1");
            if (earlier) {
                return new Answer(
                        own(received) + REFUSAL.substring(0, mWithAnswer),
                        PAUSE_MILLIS,
                        REFUSAL.substring(mWithAnswer, mWithAnswer + mWhileIdle));
            }
            boolean kept = received.connection() == 0;
            return new Answer(
                    (kept ? REFUSAL.substring(mWithAnswer + mWhileIdle) : "") + own(received),
                    Ending.KEEP_OPEN);
        }
    }

    /** Guards against a refusal of an earlier request that is taken for the next one's. */
    @ParameterizedTest
    @EnumSource
    void repeatedRefusalIsNotTheNextAnswer(Timing timing) throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(timing::answer, RepeatedRefusalTest::sound)) {
            boolean crossing = timing == Timing.AFTER_THE_NEXT_REQUEST;
            assertThat(call(harness, "request-1"), is("request-1"));
            if (crossing) {
                Thread.sleep(PAUSE_MILLIS);
            } else {
                awaitUnsolicited(harness);
            }
            assertThat(call(harness, "request-2"), is("request-2"));
            assertThat(call(harness, "request-3"), is("request-3"));
            assertThat(
                    harness.first().requests().stream().map(Received::connection).toList(),
                    is(crossing ? List.of(0, 0, 1) : List.of(0, 1, 1)));
            assertThat(
                    harness.second().requests().stream().map(ForwardingHarness::requestId).toList(),
                    is(crossing ? List.of("request-2") : List.of()));
        }
    }

    /** Guards against a refusal without an id that is no longer believed where it must be. */
    @Test
    void refusalWithoutIdIsBelievedOnNewConnection() throws Exception {
        try (ForwardingHarness harness =
                new ForwardingHarness(
                        received -> new Answer(REFUSAL, Ending.KEEP_OPEN),
                        RepeatedRefusalTest::sound)) {
            RawCaller.Response response = harness.call(ForwardingHarness.ONCE, "request-1");
            assertThat(response.status(), is(200));
        }
    }

    /** Guards against a request that ran, is taken for refused, and runs again. */
    @Test
    void statusWithoutPromiseMayHaveRun() throws Exception {
        for (int status : List.of(408, 421, 429, 503)) {
            Function<Received, Answer> script =
                    received ->
                            new Answer(
                                    "HTTP/1.1 "
                                            + status
                                            + " Status\r\n"
                                            + header(received)
                                            + "Content-Length: 0\r\n\r\n",
                                    Ending.KEEP_OPEN);
            try (ForwardingHarness harness =
                    new ForwardingHarness(script, RepeatedRefusalTest::sound)) {
                assertThat(harness.call(ForwardingHarness.ONCE, "request-1").status(), is(502));
                assertThat(harness.second().requests(), is(empty()));
                assertThat(call(harness, "request-2"), is("request-2"));
            }
        }
    }

    private static String call(ForwardingHarness harness, String id) throws Exception {
        RawCaller.Response response = harness.call(ForwardingHarness.IDEMPOTENT, id);
        assertThat(response.toString(), response.status(), is(200));
        return response.body();
    }

    private static void awaitUnsolicited(ForwardingHarness harness) throws InterruptedException {
        long end = System.nanoTime() + LIMIT_NANOS;
        while (harness.unsolicitedResponses() == 0 && System.nanoTime() < end) {
            Thread.sleep(1);
        }
        assertThat(harness.unsolicitedResponses(), is(1L));
    }

    private static Answer sound(Received received) {
        return new Answer(own(received), Ending.KEEP_OPEN);
    }

    private static String own(Received received) {
        String id = ForwardingHarness.requestId(received);
        return "HTTP/1.1 200 OK\r\n"
                + header(received)
                + "Content-Length: "
                + id.length()
                + "\r\n\r\n"
                + id;
    }

    private static String header(RawUpstream.Received received) {
        return PlainDialect.REQUEST_ID + ": " + ForwardingHarness.requestId(received) + "\r\n";
    }
}
