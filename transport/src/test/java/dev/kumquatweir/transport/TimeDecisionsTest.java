package dev.kumquatweir.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Decisions that depend on time, with the time as an argument. */
class TimeDecisionsTest {
    /** Guards against a connection without traffic that is neither pinged nor closed. */
    @Test
    void pingsAtEachIntervalAndClosesAfterSilence() {
        Liveness liveness = new Liveness(true, 500, 2_000, 0);
        assertThat(liveness.check(499), is(Liveness.Action.NONE));
        assertThat(liveness.check(500), is(Liveness.Action.PING));
        assertThat(liveness.check(501), is(Liveness.Action.NONE));
        liveness.received(600);
        assertThat(liveness.check(2_599), is(Liveness.Action.PING));
        assertThat(liveness.waitNanos(2_599), equalTo(1L));
        assertThat(liveness.check(2_600), is(Liveness.Action.CLOSE));
    }

    /** Guards against a dialler that sees silence while it writes one large frame. */
    @Test
    void acceptingSidePingsOnlyWhenItHasSentNothing() {
        Liveness liveness = new Liveness(false, 500, 2_000, 0);
        liveness.sent(500);
        assertThat(liveness.check(1_249), is(Liveness.Action.NONE));
        assertThat(liveness.check(1_250), is(Liveness.Action.PING));
    }

    /** Guards against dialling in a tight loop, and against delays without a bound. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void backoffGrowsUpToItsLimitAndStartsOverAfterStableConnection(long seed) {
        Backoff backoff = new Backoff(100, 1_600, seed, 0);
        assertThat(backoff.waitNanos(0), equalTo(0L));
        List<Long> delays = List.of(200L, 400L, 800L, 1_600L, 1_600L, 1_600L);
        delays.forEach(
                delay -> {
                    backoff.failed(0, 0);
                    assertThat(
                            backoff.waitNanos(0),
                            allOf(greaterThanOrEqualTo(delay / 2), lessThanOrEqualTo(delay)));
                });
        backoff.failed(1_601, 0);
        assertThat(backoff.waitNanos(0), lessThanOrEqualTo(100L));
    }

    /** Guards against requests that never end, also where the clock's origin makes it overflow. */
    @ParameterizedTest
    @ValueSource(longs = {0, Long.MAX_VALUE - 10})
    void requestsExpireInOrderOfTheirDeadline(long origin) {
        PendingRequests pending = new PendingRequests();
        PendingRequest late = new PendingRequest(1, origin + 30);
        PendingRequest early = new PendingRequest(2, origin + 20);
        pending.add(late);
        pending.add(early);
        assertThat(pending.waitNanos(origin), equalTo(20L));
        assertThat(pending.takeExpired(origin + 19), is(List.of()));
        assertThat(pending.takeExpired(origin + 30), contains(early, late));
        assertThat(pending.take(2).isEmpty(), is(true));
        assertThat(pending.size(), is(0));
    }

    /** Guards against a log flooded by one peer that stays down. */
    @Test
    void repeatedFailureIsLoggedOnceInEachInterval() {
        LogLimiter limiter = new LogLimiter(100);
        assertThat(limiter.permits("refused", 0), is(true));
        assertThat(limiter.permits("refused", 99), is(false));
        assertThat(limiter.permits("silent", 99), is(true));
        assertThat(limiter.permits("silent", 199), is(true));
        assertThat(limiter.takeSuppressed(), equalTo(1L));
    }
}
