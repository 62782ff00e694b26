package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.DomainDelays;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Replays calls of a plain service with two, one and one upstreams in three failure domains. */
final class PlainServiceBalanceTest {
    private static final SchedulerFeatures BALANCED =
            SchedulerFeatures.builder().domainBalance(true).build();
    private static final ServiceName SERVICE = new ServiceName("plain");
    private static final List<String> DOMAINS = List.of("a", "a", "b", "c");
    private static final int SLOTS = 6;
    private static final double WORK_MILLIS = 100;
    private static final long TARGET_MILLIS = 266;
    private static final int SECONDS = 60;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** A simulation of the service in virtual time. */
    private static final class Replay {
        private final ReplayEvents mEvents = new ReplayEvents();
        private final PlacementScheduler mScheduler;
        private final double mOneWayMillis;
        private final double[] mSlowdown;
        private final Map<PlacementKey, Call> mCalls = new HashMap<>();
        private final double[] mOnTime = new double[3];
        private final double[] mTotal = new double[3];
        private final double[] mStarted = new double[DOMAINS.size()];
        private double mCrossed;

        private record Call(PlacementRequest request, int domain, long arrivedNanos) {}

        Replay(SchedulerFeatures features, double oneWayMillis, double... slowdown) {
            mScheduler = new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000), features);
            mOneWayMillis = oneWayMillis;
            mSlowdown = slowdown;
            List<DomainDelays.Delay> delays =
                    List.of(
                            new DomainDelays.Delay(domain(0), domain(1), oneWayMillis),
                            new DomainDelays.Delay(domain(0), domain(2), oneWayMillis),
                            new DomainDelays.Delay(domain(1), domain(2), oneWayMillis));
            RoutedService service =
                    new RoutedService(SERVICE, 0, Optional.empty(), new DomainDelays(delays));
            mScheduler.setRouting(
                    new RoutingTable(
                            1, List.of(), List.of(service), List.of(), new CallerLimits(1_000)),
                    Set.of());
        }

        private static FailureDomain domain(int number) {
            return new FailureDomain(String.valueOf((char) ('a' + number)));
        }

        /** Runs calls of each domain in waves at the given mean rate over all domains. */
        Replay run(double perSecond, double swing, long seed) {
            Random random = new Random(seed);
            for (long second = 0; second < SECONDS + 2; second++) {
                long nanos = TimeUnit.SECONDS.toNanos(second);
                mEvents.schedule(nanos, () -> heartbeats(nanos));
            }
            for (long tick = 0; tick < (SECONDS + 2) * 100L; tick++) {
                long nanos = tick * 10 * MILLI;
                mEvents.schedule(nanos, () -> decide(nanos));
            }
            long number = 0;
            for (double at = 0; at < SECONDS; at -= Math.log(1 - random.nextDouble()) / perSecond) {
                double[] demand = new double[3];
                for (int domain = 0; domain < 3; domain++) {
                    demand[domain] = 1 + swing * Math.sin(2 * Math.PI * (at / 15 + domain / 3.0));
                }
                double drawn = random.nextDouble() * Arrays.stream(demand).sum();
                int domain = drawn < demand[0] ? 0 : drawn < demand[0] + demand[1] ? 1 : 2;
                number++;
                arrive(number, domain, (long) (at * 1_000 * MILLI));
            }
            mEvents.run(TimeUnit.SECONDS.toNanos(SECONDS + 2));
            return this;
        }

        private void heartbeats(long nowNanos) {
            for (int number = 0; number < DOMAINS.size(); number++) {
                mScheduler.updateUpstream(
                        new UpstreamStatus(
                                new UpstreamId("upstream-" + number),
                                1,
                                SERVICE,
                                "10.2.0." + number,
                                new FailureDomain(DOMAINS.get(number)),
                                SLOTS,
                                UpstreamPhase.READY,
                                0,
                                1 + nowNanos),
                        nowNanos);
            }
        }

        private void arrive(long number, int domain, long nowNanos) {
            PlacementKey key = new PlacementKey(new InstanceId("entry"), number);
            PlacementRequest request =
                    PlacementRequest.builder(key, "call-" + number, SERVICE)
                            .times(
                                    nowNanos + TARGET_MILLIS * MILLI,
                                    nowNanos + 2_000 * MILLI,
                                    nowNanos + 2_000 * MILLI)
                            .domain(domain(domain))
                            .build();
            mCalls.put(key, new Call(request, domain, nowNanos));
            mTotal[domain]++;
            mEvents.schedule(
                    nowNanos,
                    () -> {
                        mScheduler.submit(request, nowNanos);
                        decide(nowNanos);
                    });
        }

        private void decide(long nowNanos) {
            for (PlacementAction action : mScheduler.decide(nowNanos)) {
                if (action instanceof PlacementAction.Grant grant) {
                    start(grant, nowNanos);
                }
            }
        }

        private void start(PlacementAction.Grant grant, long nowNanos) {
            String id = grant.grant().upstream().value();
            int upstream = Integer.parseInt(id.substring(id.indexOf('-') + 1));
            Call call = Objects.requireNonNull(mCalls.get(grant.key()));
            boolean crossed = !DOMAINS.get(upstream).equals(domain(call.domain()).value());
            mCrossed += crossed ? 1 : 0;
            mStarted[upstream]++;
            double millis = WORK_MILLIS * mSlowdown[upstream] + (crossed ? 2 * mOneWayMillis : 0);
            long endNanos = nowNanos + (long) (millis * MILLI);
            mEvents.schedule(
                    endNanos,
                    () -> {
                        boolean onTime = endNanos - call.request().targetNanos() <= 0;
                        mOnTime[call.domain()] += onTime ? 1 : 0;
                        mScheduler.ended(grant.key(), PlacementOutcome.ANSWERED, "", endNanos);
                        decide(endNanos);
                    });
        }

        double share() {
            return Arrays.stream(mOnTime).sum() / Arrays.stream(mTotal).sum();
        }

        double worst() {
            return Math.min(
                    mOnTime[0] / mTotal[0],
                    Math.min(mOnTime[1] / mTotal[1], mOnTime[2] / mTotal[2]));
        }

        double crossedShare() {
            return mCrossed / Arrays.stream(mTotal).sum();
        }
    }

    /** Guards against a slow upstream getting as many calls as the others. */
    @Test
    void slowUpstreamGetsFewCalls() {
        Replay replay = new Replay(BALANCED, 3.9, 3, 1, 1, 1).run(40, 0.55, 1);
        assertThat(replay.mStarted[0] / Arrays.stream(replay.mTotal).sum(), lessThan(0.05));
        assertThat(replay.share(), greaterThan(0.95));
        assertThat(replay.worst(), greaterThanOrEqualTo(replay.share() - 0.03));
    }

    /** Guards against callers of a domain with one upstream, which is slow, being served worse. */
    @Test
    void domainWhoseOnlyUpstreamIsSlowUsesOthers() {
        Replay replay = new Replay(BALANCED, 3.9, 1, 1, 3, 1).run(40, 0.55, 2);
        assertThat(replay.share(), greaterThan(0.95));
        assertThat(replay.worst(), greaterThanOrEqualTo(replay.share() - 0.03));
    }

    /** Guards against callers of the domains with one upstream waiting while others are idle. */
    @Test
    void domainsWithOneUpstreamAreServedAsTheOneWithTwo() {
        Replay pool = new Replay(BALANCED, 0, 1, 1, 1, 1).run(180, 0.9, 3);
        Replay replay = new Replay(BALANCED, 3.9, 1, 1, 1, 1).run(180, 0.9, 3);
        assertThat(replay.share(), greaterThanOrEqualTo(0.95 * pool.share()));
        assertThat(replay.worst(), greaterThanOrEqualTo(replay.share() - 0.03));
    }

    /** Guards against crossings that make calls late: here each of them does. */
    @Test
    void callsDoNotCrossFarDomainsWithoutNeed() {
        Replay replay = new Replay(BALANCED, 90, 1, 1, 1, 1).run(60, 0.55, 4);
        assertThat(replay.crossedShare(), lessThan(0.02));
        assertThat(replay.share(), greaterThan(0.97));
    }
}
