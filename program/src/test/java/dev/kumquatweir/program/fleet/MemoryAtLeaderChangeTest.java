package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.SchedulerFeatures;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.TransportFailure;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests what a new leader knows of memory that was given out before. */
final class MemoryAtLeaderChangeTest {
    private static final InstanceId ENTRY = new InstanceId("entry");
    private static final InstanceId LEADER = new InstanceId("leader");
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final PlacementLimits LIMITS = new PlacementLimits(0.2, 10, 1_000);
    private static final SchedulerFeatures FORECAST =
            SchedulerFeatures.builder().memoryConfidence(0.99).build();
    private static final EngineCost COST =
            new EngineCost(8, 232_000, 0.925, 0.007, 0.00254, 256, 0.0917, 2_048, 46, 0.1);

    private final MetricRegistry mMetrics = new MetricRegistry();
    private final Clocks mClocks = new Clocks(() -> 0, () -> 1_000);
    private final LeaderScheduler mLeader =
            new LeaderScheduler(LIMITS, FORECAST, mMetrics, mClocks);
    private final List<Runnable> mCallbacks = new ArrayList<>();
    private final List<PlacementAction> mActions = new ArrayList<>();
    private PeerCapabilities mCapabilities = PeerCapabilities.OWN;
    private final EntryPlacement mEntry =
            new EntryPlacement(
                    ENTRY,
                    new LinkToLeader(),
                    new QuarantineDirectory(),
                    new PlacementScheduler(LIMITS, FORECAST),
                    mClocks,
                    mCallbacks::add);

    private final class LinkToLeader implements SchedulerLink {
        @Override
        public CompletionStage<Either<TransportFailure, Bytes>> request(
                InstanceId to, FrameType type, Bytes content, long timeoutNanos) {
            return CompletableFuture.completedFuture(Either.right(mCapabilities.encode()));
        }

        @Override
        public Option<TransportFailure> send(InstanceId to, FrameType type, Bytes content) {
            mLeader.handleEvent(ENTRY, content);
            return Option.none();
        }
    }

    /** Guards against a new leader that fills memory which helpers hold for running requests. */
    @Test
    void newLeaderKnowsMemoryOnHelpers() {
        PlacementAction.Grant grant = placeAlone();
        assertThat(grant.grant().helpers().size(), greaterThan(0));
        startLeader();
        mEntry.setLeader(LEADER, 1);
        mCallbacks.forEach(Runnable::run);
        mLeader.removeSilent(List.of(), 0);
        assertThat(gauge("kumquatweir_scheduler_memory_tight_engines"), is(2));
        mEntry.ended(grant.key(), PlacementOutcome.ANSWERED, "", 10);
        mLeader.removeSilent(List.of(), 0);
        assertThat(gauge("kumquatweir_scheduler_memory_tight_engines"), is(0));
        assertThat(gauge("kumquatweir_scheduler_memory_percent"), is(0));
    }

    /** Guards against a report that a leader of an earlier version rejects as malformed. */
    @Test
    void leaderOfEarlierVersionIsNotSentHelpers() {
        mCapabilities = PeerCapabilities.NONE;
        placeAlone();
        startLeader();
        mEntry.setLeader(LEADER, 1);
        mCallbacks.forEach(Runnable::run);
        mLeader.removeSilent(List.of(), 0);
        assertThat(gauge("kumquatweir_scheduler_memory_tight_engines"), is(1));
    }

    /** Places a prompt that fits one engine only with memory of another one. */
    private PlacementAction.Grant placeAlone() {
        mEntry.setRouting(routing(), Set.of());
        statuses().forEach(status -> mEntry.updateUpstream(status, 0));
        PlacementRequest request =
                PlacementRequest.builder(mEntry.newKey(), "request", SERVICE)
                        .times(6_000 * MILLI, 20_000 * MILLI, 60_000 * MILLI)
                        .generation(230_000, 100_000, 0)
                        .output(100_000, 0)
                        .build();
        mEntry.submit(request, mActions::add);
        assertThat(mActions.getFirst(), instanceOf(PlacementAction.Grant.class));
        return (PlacementAction.Grant) mActions.getFirst();
    }

    private void startLeader() {
        UpstreamDirectory directory = new UpstreamDirectory();
        statuses().forEach(status -> directory.update(status, 0));
        mLeader.setRouting(routing(), Set.of());
        mLeader.setLeading(true, directory, new QuarantineDirectory(), 0);
    }

    private Object gauge(String name) {
        return Objects.requireNonNull(mMetrics.getGauges().get(name)).getValue();
    }

    private static RoutingTable routing() {
        return new RoutingTable(
                1,
                List.of(),
                List.of(new RoutedService(SERVICE, 0, Optional.of(COST))),
                List.of(),
                new CallerLimits(1_000));
    }

    private static List<UpstreamStatus> statuses() {
        // With fewer engines, long prompts are not split.
        return Stream.of("engine-0", "engine-1", "engine-2", "engine-3")
                .map(MemoryAtLeaderChangeTest::status)
                .toList();
    }

    private static UpstreamStatus status(String id) {
        return new UpstreamStatus(
                new UpstreamId(id),
                1,
                SERVICE,
                id,
                new FailureDomain("a"),
                8,
                UpstreamPhase.READY,
                0,
                1);
    }
}
