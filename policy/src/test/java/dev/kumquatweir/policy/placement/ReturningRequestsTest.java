package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Requests that callers send again after a rejection. A returning request is placed after a first
 * attempt that can be on time, if both wait for the only slot.
 */
final class ReturningRequestsTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long ROUTE_TIMEOUT_MILLIS = 10_000;
    private static final long TARGET_MILLIS = 300;
    private static final long RETURN_MILLIS = 900;
    private static final long RIVAL = 100;

    private final PlacementScheduler mScheduler =
            new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000));
    private long mLastNumber;

    /**
     * Guards against scheduling a returning request as if it had just arrived: it takes the slot of
     * a request that can still be on time.
     */
    @Test
    void requestWithSameDeadlineKeepsTargetOfFirstArrival() {
        reject("a", 8_400, 0);
        assertThat(firstPlaced("a", 8_400 - RETURN_MILLIS, RETURN_MILLIS), is(RIVAL));
    }

    /** Guards against losing a returning request among the small differences of two uploads. */
    @Test
    void deadlinesOfTwoUploadsMayDiffer() {
        reject("a", 8_400, 0);
        assertThat(firstPlaced("a", 8_530 - RETURN_MILLIS, RETURN_MILLIS), is(RIVAL));
    }

    /** Guards against treating first attempts of callers with short time limits as returning. */
    @Test
    void shortTimeLimitAloneIsFirstAttempt() {
        reject("a", 8_400, 0);
        assertThat(firstPlaced("b", 8_400 - RETURN_MILLIS, RETURN_MILLIS), is(1L));
    }

    /** Guards against taking another request with equal content for the rejected one. */
    @Test
    void sameContentWithAnotherDeadlineIsFirstAttempt() {
        reject("a", 8_400, 0);
        assertThat(firstPlaced("a", 8_400, RETURN_MILLIS), is(1L));
    }

    /**
     * Guards against overlooking callers with more time than the timeout of the route, whose
     * deadline the entry instance moves with each attempt.
     */
    @Test
    void shortenedDeadlineReturnsAtNamedTime() {
        long afterMillis = reject("a", ROUTE_TIMEOUT_MILLIS, 0);
        assertThat(firstPlaced("a", ROUTE_TIMEOUT_MILLIS, afterMillis + 50), is(RIVAL));
    }

    /** Guards against taking every later request with equal content for the rejected one. */
    @Test
    void shortenedDeadlineLongAfterNamedTimeIsFirstAttempt() {
        long afterMillis = reject("a", ROUTE_TIMEOUT_MILLIS, 0);
        assertThat(firstPlaced("a", ROUTE_TIMEOUT_MILLIS, afterMillis + 1_500), is(1L));
    }

    /** Guards against forgetting the first arrival when a request is rejected a second time. */
    @Test
    void secondRejectionKeepsTargetOfFirstArrival() {
        reject("a", 8_400, 0);
        reject("a", 8_400 - RETURN_MILLIS, RETURN_MILLIS);
        long againMillis = 2 * RETURN_MILLIS;
        assertThat(firstPlaced("a", 8_400 - againMillis, againMillis), is(RIVAL));
    }

    /** Guards against memory that grows with the number of rejections. */
    @Test
    void rejectionsAreBoundedAndForgotten() {
        RecentRejections rejections = new RecentRejections();
        for (int number = 0; number < 30_000; number++) {
            PlacementRequest request = request("content-" + number, 10_000, 0);
            rejections.add(request, 0, 0, 500, 0);
        }
        assertThat(rejections.size(), is(10_000));
        rejections.add(request("late", 10_000, 11_000), 0, 0, 500, 11_000 * MILLI);
        assertThat(rejections.size(), is(1));
    }

    /** Submits a request while the service has no upstream; returns the time to return after. */
    private long reject(String content, long leftMillis, long nowMillis) {
        setRouting();
        mScheduler.submit(request(content, leftMillis, nowMillis), nowMillis * MILLI);
        List<PlacementAction> actions = mScheduler.decide(nowMillis * MILLI);
        PlacementAction.Reject reject = (PlacementAction.Reject) actions.get(0);
        return reject.retryAfterMillis();
    }

    /** Returns the number of the request that gets the only slot, 1 for the given one. */
    private long firstPlaced(String content, long leftMillis, long nowMillis) {
        startUpstream(nowMillis);
        mLastNumber = 0;
        mScheduler.submit(request(content, leftMillis, nowMillis), nowMillis * MILLI);
        mLastNumber = RIVAL - 1;
        mScheduler.submit(request("rival", 10_000, nowMillis), nowMillis * MILLI);
        return mScheduler.decide(nowMillis * MILLI).stream()
                .filter(PlacementAction.Grant.class::isInstance)
                .findFirst()
                .orElseThrow()
                .key()
                .number();
    }

    private PlacementRequest request(String content, long leftMillis, long nowMillis) {
        mLastNumber++;
        PlacementKey key = new PlacementKey(new InstanceId("entry"), mLastNumber);
        long nowNanos = nowMillis * MILLI;
        return PlacementRequest.builder(key, "request", SchedulerReplay.SERVICE)
                .contentHash(content)
                .origin("team", "route")
                .times(
                        nowNanos + TARGET_MILLIS * MILLI,
                        nowNanos + 5_000 * MILLI,
                        nowNanos + leftMillis * MILLI)
                .generation(content.equals("rival") ? 4_900 : 5_000, 460, 200)
                .build();
    }

    private void setRouting() {
        Route route =
                Route.builder("route", "callers.test", "/")
                        .times(ROUTE_TIMEOUT_MILLIS, TARGET_MILLIS, 200)
                        .build();
        mScheduler.setRouting(
                new RoutingTable(
                        1,
                        List.of(route),
                        List.of(
                                new RoutedService(
                                        SchedulerReplay.SERVICE,
                                        0,
                                        Optional.of(SchedulerReplay.COST))),
                        List.of(),
                        new CallerLimits(1_000)),
                Set.of());
    }

    private void startUpstream(long nowMillis) {
        mScheduler.updateUpstream(
                new UpstreamStatus(
                        new UpstreamId("engine"),
                        1,
                        SchedulerReplay.SERVICE,
                        "10.2.0.1",
                        new FailureDomain("a"),
                        1,
                        UpstreamPhase.READY,
                        0,
                        1),
                nowMillis * MILLI);
    }
}
