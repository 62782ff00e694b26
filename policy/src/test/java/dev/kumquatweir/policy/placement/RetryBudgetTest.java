package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the retries that upstreams receive in any span of the window, counted from outside. */
final class RetryBudgetTest {
    private static final ServiceName SERVICE = new ServiceName("quotes");
    private static final InstanceId OWNER = new InstanceId("entry");
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int SLOTS = 20;
    private static final int ADDITIONAL = 10;
    private static final double RATIO = 0.2;
    private static final long WINDOW_MILLIS = 10_000;

    private final PlacementScheduler mScheduler =
            new PlacementScheduler(new PlacementLimits(RATIO, ADDITIONAL, WINDOW_MILLIS));
    private final List<Long> mRetries = new ArrayList<>();
    private long mLastNumber;

    /** Guards against retries that waited in an earlier window and arrive beside new ones. */
    @Test
    void retriesThatWaitedCountWhenTheyArePlaced() {
        startUpstream();
        List<PlacementKey> firsts = submit(SLOTS, false, 0);
        decide(0);
        submit(ADDITIONAL, true, 1_000);
        decide(1_000);
        firsts.forEach(key -> mScheduler.ended(key, PlacementOutcome.ANSWERED, "", 12_000 * MILLI));
        submit(ADDITIONAL, true, 12_000);
        decide(12_000);
        assertThat(mostInOneWindow(), greaterThan(0L));
        assertThat((double) mostInOneWindow(), lessThanOrEqualTo(RATIO * SLOTS + ADDITIONAL));
    }

    private void startUpstream() {
        mScheduler.setRouting(
                new RoutingTable(
                        1,
                        List.of(),
                        List.of(new RoutedService(SERVICE, 100, Optional.empty())),
                        List.of(),
                        new CallerLimits(1_000)),
                Set.of());
        heartbeat(0);
    }

    private void heartbeat(long nowMillis) {
        mScheduler.updateUpstream(
                new UpstreamStatus(
                        new UpstreamId("quotes-0"),
                        1,
                        SERVICE,
                        "10.2.0.1",
                        new FailureDomain("a"),
                        SLOTS,
                        UpstreamPhase.READY,
                        0,
                        1 + nowMillis),
                nowMillis * MILLI);
    }

    private List<PlacementKey> submit(int count, boolean retry, long nowMillis) {
        List<PlacementKey> keys = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            mLastNumber++;
            PlacementKey key = new PlacementKey(OWNER, mLastNumber);
            keys.add(key);
            long endNanos = (nowMillis + 60_000) * MILLI;
            mScheduler.submit(
                    PlacementRequest.builder(key, "request-" + mLastNumber, SERVICE)
                            .times(endNanos, endNanos, endNanos)
                            .previousAttempts(Set.of(), retry)
                            .build(),
                    nowMillis * MILLI);
        }
        return keys;
    }

    private void decide(long nowMillis) {
        heartbeat(nowMillis);
        for (PlacementAction action : mScheduler.decide(nowMillis * MILLI)) {
            boolean retry = action.key().number() > SLOTS;
            if (retry && (action instanceof PlacementAction.Grant)) {
                mRetries.add(nowMillis);
            }
        }
    }

    private long mostInOneWindow() {
        return mRetries.stream()
                .mapToLong(
                        start ->
                                mRetries.stream()
                                        .filter(at -> at >= start && at < start + WINDOW_MILLIS)
                                        .count())
                .max()
                .orElse(0);
    }
}
