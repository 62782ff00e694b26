package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.SentRequests;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests the retries that upstreams receive in any span of the window, counted from outside, while
 * leaders are lost and entry instances schedule alone or are restarted.
 */
final class RetryBudgetSpreadTest {
    private static final ServiceName SERVICE = new ServiceName("quotes");
    private static final long MILLISECOND_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final PlacementLimits LIMITS = new PlacementLimits(0.2, 40, 10_000);
    private static final int ENTRIES = 3;
    private static final int RETRIES_PER_STEP = 5;
    private static final long STEP_MILLIS = 100;
    private static final long DURATION_MILLIS = 40_000;

    private final List<Long> mFirstSends = new ArrayList<>();
    private final List<Long> mRetries = new ArrayList<>();
    private long mNowMillis;
    private long mLastNumber;
    private LeaderScheduler mLeader = newLeader();
    private final List<Entry> mEntries =
            new ArrayList<>(IntStream.range(0, ENTRIES).mapToObj(Entry::new).toList());

    /** Guards against a new leader that knows nothing of what was sent for the one before. */
    @Test
    void leadersInSeriesShareOneBudget() {
        elect();
        for (; mNowMillis < DURATION_MILLIS; mNowMillis += STEP_MILLIS) {
            if (mNowMillis % 2_000 == 0) {
                elect();
            }
            mEntries.forEach(Entry::sendByLeader);
        }
        assertBudgetIsKept();
    }

    /** Guards against a new leader that gives an entry instance's unknown share once more. */
    @Test
    void leaderLostTogetherWithAnEntryInstance() {
        elect();
        for (; mNowMillis < DURATION_MILLIS; mNowMillis += STEP_MILLIS) {
            if (mNowMillis % 12_000 == 5_000) {
                mLeader = newLeader();
                mLeader.expectReports(
                        Set.copyOf(mEntries.stream().map(entry -> entry.mId).toList()), nowNanos());
                mEntries.remove(0);
                mEntries.forEach(Entry::report);
                mEntries.add(new Entry((int) mNowMillis));
            }
            mEntries.forEach(Entry::sendByLeader);
        }
        assertBudgetIsKept();
    }

    /** Guards against instances that schedule alone beside what the leader allows. */
    @Test
    void instancesWithoutLeaderShareTheRest() {
        elect();
        for (; mNowMillis < DURATION_MILLIS; mNowMillis += STEP_MILLIS) {
            boolean alone = mNowMillis % 6_000 >= 3_000;
            if (mNowMillis % 6_000 == 0) {
                elect();
            }
            mEntries.forEach(alone ? Entry::sendAlone : Entry::sendByLeader);
        }
        assertBudgetIsKept();
    }

    /** Guards against a full budget after each restart of an entry instance without a leader. */
    @Test
    void restartedInstancesWithoutLeaderShareTheRest() {
        for (; mNowMillis < DURATION_MILLIS; mNowMillis += STEP_MILLIS) {
            if (mNowMillis % 3_000 == 0) {
                mEntries.replaceAll(entry -> new Entry((int) mNowMillis));
            }
            mEntries.forEach(Entry::sendAlone);
        }
        assertBudgetIsKept();
    }

    private void assertBudgetIsKept() {
        assertThat(mRetries.size(), greaterThan(0));
        double mostBeyond =
                mRetries.stream()
                        .mapToDouble(
                                start ->
                                        count(mRetries, start)
                                                - LIMITS.retryRatio() * count(mFirstSends, start))
                        .max()
                        .orElse(0);
        assertThat(mostBeyond, lessThanOrEqualTo((double) LIMITS.additionalRetries()));
    }

    private static long count(List<Long> times, long startMillis) {
        return times.stream()
                .filter(at -> at >= startMillis && at < startMillis + LIMITS.retryWindowMillis())
                .count();
    }

    private void elect() {
        mLeader = newLeader();
        mLeader.expectReports(
                Set.copyOf(mEntries.stream().map(entry -> entry.mId).toList()), nowNanos());
        mEntries.forEach(Entry::report);
    }

    private long nowNanos() {
        return mNowMillis * MILLISECOND_NANOS;
    }

    private LeaderScheduler newLeader() {
        LeaderScheduler leader =
                new LeaderScheduler(
                        LIMITS, new MetricRegistry(), new Clocks(this::nowNanos, () -> 0));
        leader.setRouting(routing(), Set.of());
        leader.setLeading(true, new UpstreamDirectory(), new QuarantineDirectory(), nowNanos());
        leader.updateUpstream(upstream(), nowNanos());
        return leader;
    }

    private static RoutingTable routing() {
        return new RoutingTable(
                1,
                List.of(),
                List.of(new RoutedService(SERVICE, 1_000, Optional.empty())),
                List.of(),
                new CallerLimits(1_000));
    }

    private UpstreamStatus upstream() {
        return new UpstreamStatus(
                new UpstreamId("quotes-0"),
                1,
                SERVICE,
                "10.2.0.1",
                new FailureDomain("a"),
                10_000,
                UpstreamPhase.READY,
                0,
                1 + mNowMillis);
    }

    /** Entry instance that takes the same steps as {@link EntryPlacement}. */
    private final class Entry {
        private final InstanceId mId;
        private final SentRequests mSent = new SentRequests(LIMITS);
        private final PlacementScheduler mLocalScheduler = new PlacementScheduler(LIMITS);

        Entry(int number) {
            mLastNumber++;
            mId = new InstanceId("entry-" + number + "-" + mLastNumber);
            mLocalScheduler.setRouting(routing(), Set.of());
            mLocalScheduler.configureStandalone(1, number);
            mLocalScheduler.retries().startStandalone(nowNanos());
        }

        void report() {
            mLocalScheduler.configureStandalone(ENTRIES, mId.hashCode());
            event(new PlacementEvent.Sent(mSent.counts(nowNanos())));
        }

        void sendByLeader() {
            mLeader.updateUpstream(upstream(), nowNanos());
            for (int number = 0; number <= RETRIES_PER_STEP; number++) {
                PlacementRequest request = request(number > 0);
                mLeader.place(
                        mId,
                        PlacementCodec.encode(request, nowNanos()),
                        content -> {
                            handle(request, content);
                            return Option.none();
                        });
                mLeader.decide(nowNanos());
            }
        }

        private void handle(PlacementRequest request, Bytes content) {
            Optional<PlacementAction> action =
                    PlacementCodec.decodeAction(request.key(), content).get();
            if (action.isPresent() && (action.get() instanceof PlacementAction.Grant)) {
                mLocalScheduler.retries().recordFirstSend(request, nowNanos());
                arrive(request, true);
                event(new PlacementEvent.Ended(request.key(), PlacementOutcome.ANSWERED, ""));
            }
        }

        void sendAlone() {
            mLocalScheduler.updateUpstream(upstream(), nowNanos());
            for (int number = 0; number <= RETRIES_PER_STEP; number++) {
                PlacementRequest request = request(number > 0);
                mLocalScheduler.submit(request, nowNanos());
                for (PlacementAction action : mLocalScheduler.decide(nowNanos())) {
                    if (action instanceof PlacementAction.Grant) {
                        arrive(request, false);
                        mLocalScheduler.ended(
                                request.key(), PlacementOutcome.ANSWERED, "", nowNanos());
                    }
                }
            }
        }

        private void arrive(PlacementRequest request, boolean byLeader) {
            mSent.recordPlaced(request, byLeader, nowNanos());
            (request.retry() ? mRetries : mFirstSends).add(mNowMillis);
        }

        private PlacementRequest request(boolean retry) {
            mLastNumber++;
            long endNanos = nowNanos() + TimeUnit.SECONDS.toNanos(1);
            return PlacementRequest.builder(new PlacementKey(mId, mLastNumber), "request", SERVICE)
                    .times(endNanos, endNanos, endNanos)
                    .previousAttempts(Set.of(), retry)
                    .build();
        }

        private void event(PlacementEvent event) {
            mLeader.handleEvent(mId, PlacementEvent.encode(event, nowNanos()));
        }
    }
}
