package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.DomainDelays;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The failure domains of a simulation, the times between them, and the instances that schedule. The
 * upstreams are spread evenly over the domains.
 */
final class ReplayCluster {
    private static final double MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final List<FailureDomain> mDomains;
    private final DomainDelays mDelays;
    private final List<PlacementScheduler> mSchedulers = new ArrayList<>();
    private final SchedulerFeatures mFeatures;
    private boolean mRefusesWhenFull;
    private int mPlaced;
    private int mCrossed;

    private ReplayCluster(int domains, double oneWayMillis, SchedulerFeatures features) {
        mFeatures = features;
        mDomains = new ArrayList<>();
        for (int number = 0; number < domains; number++) {
            mDomains.add(new FailureDomain(String.valueOf((char) ('a' + number))));
        }
        mDelays =
                new DomainDelays(
                        mDomains.stream()
                                .flatMap(
                                        from ->
                                                mDomains.stream()
                                                        .filter(to -> !to.equals(from))
                                                        .map(
                                                                to ->
                                                                        new DomainDelays.Delay(
                                                                                from,
                                                                                to,
                                                                                oneWayMillis)))
                                .toList());
    }

    /** Returns a cluster with one scheduler that sees all requests. */
    static ReplayCluster led(int domains, double oneWayMillis, SchedulerFeatures features) {
        ReplayCluster cluster = new ReplayCluster(domains, oneWayMillis, features);
        cluster.mSchedulers.add(scheduler(features));
        return cluster;
    }

    /**
     * Returns a cluster whose instances schedule alone. A caller's owner {@code entry-N} determines
     * its scheduler. Upstreams refuse requests beyond their slots.
     */
    static ReplayCluster standalone(
            int domains, double oneWayMillis, int instances, SchedulerFeatures features) {
        ReplayCluster cluster = new ReplayCluster(domains, oneWayMillis, features);
        cluster.mRefusesWhenFull = true;
        for (int number = 0; number < instances; number++) {
            PlacementScheduler scheduler = scheduler(features);
            scheduler.configureStandalone(instances, owner(number).hashCode());
            cluster.mSchedulers.add(scheduler);
        }
        return cluster;
    }

    private static PlacementScheduler scheduler(SchedulerFeatures features) {
        return new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000), features);
    }

    /** Gives the schedulers the cost model and the delays. */
    void setRouting() {
        RoutedService service =
                new RoutedService(
                        SchedulerReplay.SERVICE, 26, Optional.of(SchedulerReplay.COST), mDelays);
        RoutingTable routing =
                new RoutingTable(
                        1, List.of(), List.of(service), List.of(), new CallerLimits(1_000));
        mSchedulers.forEach(scheduler -> scheduler.setRouting(routing, Set.of()));
    }

    /** Replaces the only scheduler by a new one that knows nothing but the routes. */
    void replaceScheduler() {
        mSchedulers.set(0, scheduler(mFeatures));
        setRouting();
    }

    /** Sends a heartbeat of an upstream to the schedulers. */
    void heartbeat(UpstreamId id, UpstreamPhase phase, long nowNanos) {
        UpstreamStatus status =
                new UpstreamStatus(
                        id,
                        1,
                        SchedulerReplay.SERVICE,
                        id.value(),
                        domain(id),
                        SchedulerReplay.SLOTS,
                        phase,
                        0,
                        1 + nowNanos);
        mSchedulers.forEach(scheduler -> scheduler.updateUpstream(status, nowNanos));
    }

    /** Lets each scheduler know a prompt that a leader has placed earlier. */
    void recordEarlierPrompt(long tokens) {
        for (PlacementScheduler scheduler : mSchedulers) {
            PlacementKey key = new PlacementKey(owner(0), -tokens);
            PlacementRequest request =
                    PlacementRequest.builder(key, "earlier", SchedulerReplay.SERVICE)
                            .generation(tokens, 1, 0)
                            .build();
            scheduler.registerRunning(request, new UpstreamId("engine-0"), true, 0, 0);
            scheduler.ended(key, PlacementOutcome.CANCELLED, "", 0);
        }
    }

    /** Returns the instance of a number. */
    static InstanceId owner(int number) {
        return new InstanceId("entry-" + number);
    }

    List<PlacementScheduler> schedulers() {
        return mSchedulers;
    }

    /** Returns the scheduler that decides on the requests of an instance. */
    PlacementScheduler scheduler(PlacementKey key) {
        if (mSchedulers.size() == 1) {
            return mSchedulers.get(0);
        }
        String owner = key.owner().value();
        return mSchedulers.get(Integer.parseInt(owner.substring(owner.indexOf('-') + 1)));
    }

    /** Returns whether an upstream refuses a request beyond its slots. */
    boolean refusesWhenFull() {
        return mRefusesWhenFull;
    }

    /** Returns the share of the placements that crossed between domains. */
    double crossedShare() {
        return (double) mCrossed / Math.max(1, mPlaced);
    }

    FailureDomain domain(int number) {
        return Objects.requireNonNull(mDomains.get(number % mDomains.size()));
    }

    /** Returns the domain of an upstream, whose id is a name and a number. */
    FailureDomain domain(UpstreamId id) {
        return domain(Integer.parseInt(id.value().replaceAll("\\D", "")));
    }

    /** Returns the time of one way between a caller's instance and an upstream. */
    long crossingNanos(PlacementRequest request, UpstreamId upstream) {
        Optional<FailureDomain> from = request.domain();
        mPlaced++;
        mCrossed += from.equals(Optional.of(domain(upstream))) ? 0 : 1;
        return from.isEmpty()
                ? 0
                : (long) (mDelays.oneWayMillis(from.get(), domain(upstream)) * MILLI);
    }
}
