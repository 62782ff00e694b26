package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

/** The actions of a simulation in virtual time, and the schedulers that it creates. */
final class ReplayEvents {
    private final PriorityQueue<ScheduledEvent> mEvents = new PriorityQueue<>();
    private long mLastOrder;

    /** An action scheduled for a time. Actions with equal times keep their order. */
    private record ScheduledEvent(long nanos, long order, Runnable action)
            implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Long.compare(nanos, other.nanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    void add(long nanos, Runnable action) {
        mLastOrder++;
        mEvents.add(new ScheduledEvent(nanos, mLastOrder, action));
    }

    void runUntil(long untilNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= untilNanos) {
            mEvents.remove().action().run();
        }
    }

    /** Creates a scheduler that knows the service of the simulation. */
    static PlacementScheduler newScheduler(SchedulerFeatures features) {
        PlacementScheduler scheduler =
                new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000), features);
        scheduler.setRouting(
                new RoutingTable(
                        1,
                        List.of(),
                        List.of(
                                new RoutedService(
                                        SchedulerReplay.SERVICE,
                                        26,
                                        Optional.of(SchedulerReplay.COST))),
                        List.of(),
                        new CallerLimits(1_000)),
                Set.of());
        return scheduler;
    }

    /** Submits the requests that wait for a decision to another scheduler. */
    static void submitWaiting(
            Collection<ReplayOutcome> outcomes, PlacementScheduler scheduler, long nowNanos) {
        outcomes.stream()
                .filter(outcome -> outcome.waiting(nowNanos))
                .sorted(Comparator.comparingLong(outcome -> outcome.mArrivedNanos))
                .forEach(outcome -> scheduler.submit(outcome.mRequest, nowNanos));
    }
}
