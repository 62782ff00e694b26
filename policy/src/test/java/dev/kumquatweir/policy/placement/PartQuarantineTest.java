package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.CallerLimits;
import dev.kumquatweir.core.routing.RoutedService;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which parts of prompts are quarantined after crashes, and how they are cleared. */
final class PartQuarantineTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final InstanceId OWNER = new InstanceId("entry");
    private static final int UPSTREAMS = 12;

    private final PlacementScheduler mScheduler = newScheduler();
    private final Set<PlacementKey> mRejected = new HashSet<>();
    private final Set<PlacementKey> mGranted = new HashSet<>();
    private long mNowNanos;
    private long mLastNumber;

    /** Guards against turning away sound requests that share another part with deadly ones. */
    @Test
    void partThatOnlyCameWithCrashingPartIsFreedByProbe() {
        quarantineTogether();
        PlacementKey probe = submit("caller", "companion");
        PlacementKey next = submit("caller", "companion");
        assertThat(mGranted.contains(probe), is(true));
        assertThat(mGranted.contains(next) || mRejected.contains(next), is(false));
        answer(probe);
        assertThat(mGranted.contains(next), is(true));
        assertThat(mRejected.contains(submit("caller", "bad")), is(true));
        assertThat(quarantined(), is(List.of("bad")));
    }

    /** Guards against a group of parts that is never told apart. */
    @Test
    void probeThatCrashesConvictsItsPartAlone() {
        quarantineTogether();
        crash(submit("caller", "bad"));
        PlacementKey companion = submit("caller", "companion");
        assertThat(quarantined(), is(List.of("bad")));
        assertThat(mGranted.contains(companion), is(true));
        assertThat(mRejected.contains(submit("caller", "bad")), is(true));
    }

    /** Guards against requests that go on to an upstream because they were waiting before. */
    @Test
    void waitingRequestIsRejectedWithoutChargeOfRetryBudget() {
        answer(submit("caller"));
        PlacementKey first = submit("caller", "bad");
        crash(first);
        crash(submit("caller", "bad"));
        PlacementKey third = submit("caller", "bad");
        crash(third);
        for (int number = 0; number < 200; number++) {
            PlacementRequest retry =
                    builder("caller", "bad").previousAttempts(Set.of(), true).build();
            mScheduler.submit(retry, mNowNanos);
            decide();
            assertThat(mRejected.contains(retry.key()), is(true));
        }
        PlacementRequest retry =
                builder("caller", "sound").previousAttempts(Set.of(), true).build();
        mScheduler.submit(retry, mNowNanos);
        decide();
        assertThat(mGranted.contains(retry.key()), is(true));
    }

    /**
     * Guards against crashes that come before the first event reaches the scheduler, while answers
     * of bystanders have just begun on the same upstream.
     */
    @Test
    void crashBeforeFirstEventIsBlamedBesideBegunBystanders() {
        for (int time = 0; time < 4; time++) {
            List<PlacementKey> keys = new ArrayList<>();
            for (int number = 0; number < 4; number++) {
                keys.add(submit("caller", "tool-" + time));
            }
            advance(150);
            keys.forEach(key -> mScheduler.recordFirstEvent(key, mNowNanos));
            keys.add(submit("caller", "bad"));
            advance(100);
            keys.forEach(key -> mScheduler.ended(key, PlacementOutcome.BROKEN, "", mNowNanos));
            advance(3_000);
            heartbeats();
            answer(submit("caller"));
        }
        assertThat(quarantined(), is(List.of("bad")));
    }

    /** Guards against blaming a part for upstreams that lose power together. */
    @Test
    void requestsThatBreakOffTogetherCountOnce() {
        for (int time = 0; time < 2; time++) {
            List<PlacementKey> keys =
                    List.of(
                            submit("new"),
                            submit("new"),
                            submit("new"),
                            submit("new"),
                            submit("new"),
                            submit("new"),
                            submit("new"),
                            submit("new"));
            advance(100);
            keys.forEach(key -> mScheduler.ended(key, PlacementOutcome.BROKEN, "", mNowNanos));
            advance(3_000);
        }
        assertThat(quarantined(), is(List.of()));
    }

    /** Guards against blaming a part for connections that are reset on a busy upstream. */
    @Test
    void progressOfUpstreamTakesStrikesBack() {
        PlacementScheduler scheduler = mScheduler;
        for (int time = 0; time < 12; time++) {
            PlacementKey lost = submit("new");
            PlacementKey other = submit("other");
            advance(100);
            scheduler.recordFirstEvent(lost, mNowNanos);
            advance(45);
            scheduler.ended(lost, PlacementOutcome.BROKEN, "", mNowNanos);
            advance(300);
            scheduler.ended(other, PlacementOutcome.UPSTREAM_ERROR, "", mNowNanos);
            advance(500);
        }
        assertThat(quarantined(), is(List.of()));
    }

    /** Guards against parts that stay turned away for ever after a fault has been mended. */
    @Test
    void quarantineEndsByProbe() {
        answer(submit("caller"));
        quarantine("bad");
        advance(299_000);
        heartbeats();
        assertThat(mRejected.contains(submit("caller", "bad")), is(true));
        advance(2_000);
        heartbeats();
        PlacementKey probe = submit("caller", "bad");
        PlacementKey next = submit("caller", "bad");
        assertThat(mGranted.contains(probe), is(true));
        assertThat(mGranted.contains(next), is(false));
        crash(probe);
        assertThat(mRejected.contains(next), is(true));
        advance(400_000);
        heartbeats();
        assertThat(mRejected.contains(submit("caller", "bad")), is(true));
        advance(201_000);
        heartbeats();
        answer(submit("caller", "bad"));
        assertThat(mGranted.contains(submit("caller", "bad")), is(true));
        assertThat(quarantined(), is(List.of()));
    }

    /** Guards against each scheduler paying for its own verdict. */
    @Test
    void quarantineOfAnotherSchedulerHolds() {
        quarantineTogether();
        List<QuarantinedPart> exported = mScheduler.quarantinedParts(mNowNanos);
        PartQuarantineTest other = new PartQuarantineTest();
        other.mScheduler.addQuarantinedParts(exported, 0);
        PlacementKey both = other.submit("caller", "bad", "companion");
        PlacementKey probe = other.submit("caller", "companion");
        assertThat(other.mRejected.contains(both), is(true));
        assertThat(other.mGranted.contains(probe), is(true));
        other.answer(probe);
        other.mScheduler.addQuarantinedParts(exported, other.mNowNanos - 1_000 * MILLI);
        assertThat(other.quarantined(), is(List.of("bad")));
    }

    /** Guards against an older report that makes a part seem to have crashed long ago. */
    @Test
    void youngerAgeWins() {
        mNowNanos = 1_000_000 * MILLI;
        heartbeats();
        mScheduler.addQuarantinedParts(List.of(new QuarantinedPart("bad", 10_000)), mNowNanos);
        mScheduler.addQuarantinedParts(List.of(new QuarantinedPart("bad", 5_000)), mNowNanos);
        mScheduler.addQuarantinedParts(List.of(new QuarantinedPart("bad", 400_000)), mNowNanos);
        List<QuarantinedPart> parts = mScheduler.quarantinedParts(mNowNanos);
        assertThat(parts.size(), is(1));
        assertThat(parts.get(0).ageMillis(), lessThanOrEqualTo(5_001L));
    }

    /** Guards against tables that grow with the number of parts. */
    @Test
    void tablesAreBounded() {
        CrashSuspects suspects = new CrashSuspects();
        PartQuarantine quarantine = new PartQuarantine(suspects);
        for (int number = 0; number < 20_000; number++) {
            mNowNanos += MILLI;
            String id = "engine-" + number;
            PlacementUpstream upstream = new PlacementUpstream(status(id, 1), mNowNanos);
            PlacementRequest request = builder("part-" + number, "part-" + number / 3).build();
            PlacedPart placed =
                    new PlacedPart(request, true, 0, 0, mNowNanos - 100 * MILLI, mNowNanos);
            suspects.begun(upstream, request, mNowNanos);
            suspects.brokenOff(upstream, placed, mNowNanos);
            suspects.addStrikes(List.of("imported-" + number), 5, mNowNanos, mNowNanos);
        }
        quarantine.update(mNowNanos);
        assertThat(suspects.parts().size(), lessThanOrEqualTo(2_000));
        assertThat(quarantine.convictions().size(), lessThanOrEqualTo(200));
        assertThat(quarantine.convictions().size(), greaterThan(0));
    }

    private void quarantine(String part) {
        for (int time = 0; time < 3; time++) {
            crash(submit("caller", part));
        }
        assertThat(quarantined(), is(List.of(part)));
    }

    /** Lets two parts crash three upstreams together; the first part is known to be sound. */
    private void quarantineTogether() {
        answer(submit("caller"));
        for (int time = 0; time < 3; time++) {
            crash(submit("caller", "bad", "companion"));
        }
        assertThat(quarantined(), is(List.of("bad+companion")));
        assertThat(mRejected.contains(submit("caller", "bad", "companion")), is(true));
    }

    private List<String> quarantined() {
        return mScheduler.quarantinedParts(mNowNanos).stream().map(QuarantinedPart::part).toList();
    }

    private PlacementKey submit(String... parts) {
        PlacementRequest request = builder(parts).build();
        mScheduler.submit(request, mNowNanos);
        decide();
        return request.key();
    }

    private PlacementRequest.Builder builder(String... parts) {
        mLastNumber++;
        String id = "request-" + mLastNumber;
        return PlacementRequest.builder(
                        new PlacementKey(OWNER, mLastNumber), id, SchedulerReplay.SERVICE)
                .contentHash(id)
                .sharedParts(List.of(parts))
                .times(
                        mNowNanos + 300 * MILLI,
                        mNowNanos + 5_000 * MILLI,
                        mNowNanos + 15_000 * MILLI)
                .generation(5_000, 1_610, 200);
    }

    private void crash(PlacementKey key) {
        assertThat(mGranted.contains(key), is(true));
        advance(100);
        mScheduler.recordFirstEvent(key, mNowNanos);
        advance(45);
        mScheduler.ended(key, PlacementOutcome.BROKEN, "", mNowNanos);
        advance(50);
        heartbeats();
        decide();
    }

    private void answer(PlacementKey key) {
        assertThat(mGranted.contains(key), is(true));
        advance(100);
        mScheduler.recordFirstEvent(key, mNowNanos);
        advance(2_000);
        mScheduler.ended(key, PlacementOutcome.ANSWERED, "", mNowNanos);
        heartbeats();
        decide();
    }

    private void advance(long millis) {
        mNowNanos += millis * MILLI;
    }

    private void decide() {
        for (PlacementAction action : mScheduler.decide(mNowNanos)) {
            switch (action) {
                case PlacementAction.Grant grant -> mGranted.add(grant.key());
                case PlacementAction.Reject reject -> mRejected.add(reject.key());
            }
        }
    }

    private static PlacementScheduler newScheduler() {
        PlacementScheduler scheduler =
                new PlacementScheduler(new PlacementLimits(0.2, 100, 10_000));
        scheduler.setRouting(
                new RoutingTable(
                        1,
                        List.of(),
                        List.of(
                                new RoutedService(
                                        SchedulerReplay.SERVICE,
                                        0,
                                        Optional.of(SchedulerReplay.COST))),
                        List.of(),
                        new CallerLimits(1_000)),
                Set.of());
        for (int number = 0; number < UPSTREAMS; number++) {
            scheduler.updateUpstream(status("engine-" + number, 1), 0);
        }
        return scheduler;
    }

    /** Lets each upstream check in as a new process, so that no strike is on the same one twice. */
    private void heartbeats() {
        for (int number = 0; number < UPSTREAMS; number++) {
            mScheduler.updateUpstream(status("engine-" + number, 2 + mNowNanos), mNowNanos);
        }
    }

    private static UpstreamStatus status(String id, long startedAtMillis) {
        return new UpstreamStatus(
                new UpstreamId(id),
                startedAtMillis,
                SchedulerReplay.SERVICE,
                id,
                new FailureDomain("a"),
                SchedulerReplay.SLOTS,
                UpstreamPhase.READY,
                0,
                1);
    }
}
