package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.policy.stop.PlannedStop;
import dev.kumquatweir.policy.stop.StopAction;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpRequestMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Replays planned stops in virtual time, under a load whose answers mostly end within two seconds
 * and have a long tail.
 */
final class LongTailAtPlannedStopTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long DRAIN_MILLIS = 7_400;

    /** From this time after SIGTERM on nothing excuses an answer that is cut. */
    private static final long EXCUSED_MILLIS = 3_000;

    private static final long LAST_ARRIVAL_MILLIS = 7_000;
    private static final long STREAM_TIMEOUT_MILLIS = 10_000;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int STOPS = 100;
    private static final int REQUESTS = 70;

    /** A request, when it arrived after SIGTERM, the decision and when its answer would end. */
    private record Decided(
            boolean streaming, long arrivedMillis, StopAction action, long endMillis) {
        boolean cut() {
            return action == StopAction.CONTINUE && endMillis > DRAIN_MILLIS;
        }
    }

    /** Guards against a request that is taken late and cut in its answer when the process ends. */
    @Test
    void requestTakenLateIsNotCutInTheTailOfItsRoute() {
        List<Decided> cut =
                replay(40)
                        .filter(decided -> decided.arrivedMillis() > EXCUSED_MILLIS)
                        .filter(Decided::cut)
                        .toList();
        assertThat("taken late and cut: " + cut.size(), cut, is(empty()));
    }

    /** Guards against a stop that rejects late what is sure to have its final answer in time. */
    @Test
    void callWhoseDeadlineIsBeforeTheEndIsServed() {
        List<Decided> rejected =
                replay(41)
                        .filter(decided -> !decided.streaming())
                        .filter(
                                decided ->
                                        decided.arrivedMillis()
                                                < DRAIN_MILLIS - CALL_TIMEOUT_MILLIS)
                        .filter(decided -> decided.action() != StopAction.CONTINUE)
                        .toList();
        assertThat(rejected, is(empty()));
    }

    /** Guards against a stop that turns callers away before the balancer sends them elsewhere. */
    @Test
    void streamThatComesWhileCallersAreSentHereIsServed() {
        List<Decided> early =
                replay(42)
                        .filter(Decided::streaming)
                        .filter(decided -> decided.arrivedMillis() < 2_000)
                        .toList();
        assertThat(early, is(not(empty())));
        assertThat(
                early.stream().filter(decided -> decided.action() != StopAction.CONTINUE).toList(),
                is(empty()));
    }

    private static Stream<Decided> replay(long seed) {
        Random random = new Random(seed);
        return IntStream.range(0, STOPS).boxed().flatMap(number -> replayStop(random));
    }

    private static Stream<Decided> replayStop(Random random) {
        StopAdmission stops = new StopAdmission(new EmptyState(), () -> false);
        IntStream.range(0, 64)
                .forEach(
                        number ->
                                stops.recordAnswer(
                                        request(true, 0), -streamMillis(random) * MILLI, 0));
        stops.begin(new PlannedStop(0, DRAIN_MILLIS * MILLI));
        return IntStream.range(0, REQUESTS)
                .mapToObj(
                        number -> {
                            boolean streaming = random.nextInt(3) > 0;
                            long arrivedMillis = random.nextLong(LAST_ARRIVAL_MILLIS);
                            long tookMillis =
                                    streaming
                                            ? streamMillis(random)
                                            : random.nextLong(CALL_TIMEOUT_MILLIS);
                            long nowNanos = arrivedMillis * MILLI;
                            StopAction action =
                                    stops.decide(
                                            request(streaming, nowNanos),
                                            false,
                                            false,
                                            false,
                                            nowNanos);
                            return new Decided(
                                    streaming, arrivedMillis, action, arrivedMillis + tookMillis);
                        });
    }

    /** Returns a duration with a median of 1.5 s; one in a hundred is longer than 4 s. */
    private static long streamMillis(Random random) {
        return Math.min(
                STREAM_TIMEOUT_MILLIS, (long) (1_500 * Math.exp(0.45 * random.nextGaussian())));
    }

    private static ForwardedRequest request(boolean streaming, long arrivedNanos) {
        long timeoutMillis = streaming ? STREAM_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS;
        Route route =
                Route.builder(streaming ? "stream" : "call", "host", "/")
                        .times(timeoutMillis, 300, 200)
                        .build();
        CallerRequestHead head =
                new CallerRequestHead(
                        "request",
                        "host",
                        "/",
                        Optional.empty(),
                        OptionalLong.empty(),
                        0,
                        0,
                        0,
                        0,
                        -1,
                        List.of(),
                        "");
        return new ForwardedRequest(
                head,
                HttpRequestMethod.POST,
                "/",
                DefaultHttpHeadersFactory.INSTANCE.newHeaders(),
                Bytes.EMPTY,
                route,
                new ServiceName("service"),
                Optional.empty(),
                arrivedNanos,
                arrivedNanos + timeoutMillis * MILLI);
    }
}
