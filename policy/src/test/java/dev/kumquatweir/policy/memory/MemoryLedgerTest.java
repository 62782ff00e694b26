package dev.kumquatweir.policy.memory;

import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MemoryLedgerTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final UpstreamId OTHER = new UpstreamId("engine-2");
    private static final InstanceId SELF = new InstanceId("entry:1");
    private static final InstanceId PEER = new InstanceId("entry:2");
    private static final AttemptId OWN_ATTEMPT = new AttemptId("entry:1:7:1");
    private static final AttemptId PEER_ATTEMPT = new AttemptId("entry:2:3:1");
    private static final long GRACE_NANOS = 5 * SECOND;
    private static final long LONGEST_REQUEST_NANOS = 30 * 60 * SECOND;

    private final InstanceDirectory mDirectory = new InstanceDirectory();
    private final MemoryLedger mLedger = MemoryLedger.builder(SELF, 7, mDirectory).build();

    MemoryLedgerTest() {
        mLedger.updateEngine(ENGINE, 1, 100);
        mLedger.updateEngine(OTHER, 1, 100);
    }

    /** Guards against an attempt that keeps running because its cancel was lost. */
    @Test
    void cancelsOwnAttemptsWhoseCancelWasLost() {
        mLedger.reserve(ENGINE, OWN_ATTEMPT, 60, 0);
        assertThat(attempts(0, OWN_ATTEMPT), empty());
        mLedger.release(OWN_ATTEMPT);
        assertThat(attempts(SECOND, OWN_ATTEMPT), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(90L));
        assertThat(attempts(SECOND + GRACE_NANOS - 1, OWN_ATTEMPT), empty());
        MemoryAction cancel = new MemoryAction.CancelAttempt(ENGINE, OWN_ATTEMPT);
        assertThat(attempts(SECOND + GRACE_NANOS, OWN_ATTEMPT), contains(cancel));
        assertThat(attempts(20 * SECOND, OWN_ATTEMPT), contains(cancel));
        assertThat(attempts(21 * SECOND), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(100L));
    }

    /** Guards against unread streams of an earlier incarnation that keep running. */
    @Test
    void cancelsOrphanedStreamsOfAnEarlierIncarnation() {
        AttemptId orphan = new AttemptId("entry:1:6:9");
        attempts(0, orphan);
        assertThat(
                attempts(GRACE_NANOS, orphan),
                contains(new MemoryAction.CancelAttempt(ENGINE, orphan)));
    }

    /** Guards against a leak of the memory of a terminated instance. */
    @Test
    void cancelsAttemptsOfRestartedAndStoppedInstances() {
        mDirectory.recordContact(PEER, 3, 0);
        assertThat(attempts(0, PEER_ATTEMPT), empty());
        mDirectory.recordContact(PEER, 4, SECOND);
        assertThat(attempts(SECOND, PEER_ATTEMPT), empty());
        MemoryAction cancel = new MemoryAction.CancelAttempt(ENGINE, PEER_ATTEMPT);
        assertThat(attempts(SECOND + GRACE_NANOS, PEER_ATTEMPT), contains(cancel));
        AttemptId stopped = new AttemptId("entry:2:4:1");
        mDirectory.recordTermination(PEER, 4, 10 * SECOND);
        attempts(10 * SECOND, stopped);
        assertThat(
                attempts(10 * SECOND + GRACE_NANOS, stopped),
                contains(new MemoryAction.CancelAttempt(ENGINE, stopped)));
    }

    /** Guards against cancelling long requests of an instance partitioned from this one. */
    @Test
    void keepsAttemptsOfUnresponsiveInstancesForTheMaximumDuration() {
        mDirectory.recordContact(PEER, 3, 0);
        long firstListedNanos = 100 * LONGEST_REQUEST_NANOS;
        assertThat(attempts(firstListedNanos, PEER_ATTEMPT), empty());
        assertThat(
                attempts(firstListedNanos + LONGEST_REQUEST_NANOS + GRACE_NANOS - 1, PEER_ATTEMPT),
                empty());
        assertThat(
                attempts(firstListedNanos + LONGEST_REQUEST_NANOS + GRACE_NANOS, PEER_ATTEMPT),
                not(empty()));
        mDirectory.recordContact(PEER, 3, firstListedNanos + LONGEST_REQUEST_NANOS + GRACE_NANOS);
        assertThat(
                attempts(firstListedNanos + LONGEST_REQUEST_NANOS + GRACE_NANOS, PEER_ATTEMPT),
                empty());
    }

    /**
     * Guards against cancelling attempts too early if their id has another form or their
     * incarnation has not sent a message yet.
     */
    @Test
    void keepsAttemptsOfUnknownOriginForTheMaximumDuration() {
        AttemptId unknownOrigin = new AttemptId("manual-test");
        mDirectory.recordContact(PEER, 2, 0);
        assertThat(attempts(0, unknownOrigin, PEER_ATTEMPT), empty());
        assertThat(
                attempts(LONGEST_REQUEST_NANOS + GRACE_NANOS, unknownOrigin, PEER_ATTEMPT),
                contains(new MemoryAction.CancelAttempt(ENGINE, unknownOrigin)));
    }

    /**
     * Guards against cancelling attempts of a live instance whose incarnation is lower than the
     * previous one because its wall clock was set back.
     */
    @Test
    void keepsAttemptsOfLowerIncarnationSeenAfterHigherOne() {
        mDirectory.recordContact(PEER, 9, 0);
        mDirectory.recordContact(PEER, 3, SECOND);
        assertThat(attempts(SECOND, PEER_ATTEMPT), empty());
        assertThat(attempts(SECOND + 2 * GRACE_NANOS, PEER_ATTEMPT), empty());
        assertThat(mDirectory.liveInstances(SECOND), contains(PEER));
    }

    /**
     * Guards against a leak of attempts that this instance started under a higher incarnation,
     * before its wall clock was set back.
     */
    @Test
    void cancelsOwnAttemptsOfHigherIncarnationAfterMaximumDuration() {
        AttemptId earlier = new AttemptId("entry:1:8:0");
        assertThat(attempts(0, earlier), empty());
        assertThat(attempts(LONGEST_REQUEST_NANOS + GRACE_NANOS - 1, earlier), empty());
        assertThat(
                attempts(LONGEST_REQUEST_NANOS + GRACE_NANOS, earlier),
                contains(new MemoryAction.CancelAttempt(ENGINE, earlier)));
    }

    /**
     * Guards against a leak of the memory of removed instances, and against cancelling attempts of
     * a removed instance that is still running.
     */
    @Test
    void cancelsAttemptsOfRemovedInstancesOnceTheyAreUnresponsive() {
        mDirectory.recordContact(PEER, 3, 0);
        mDirectory.setRemoved(Set.of(PEER));
        assertThat(attempts(SECOND, PEER_ATTEMPT), empty());
        long unresponsiveNanos = InstanceDirectory.LIVENESS_TIMEOUT_NANOS;
        assertThat(attempts(unresponsiveNanos, PEER_ATTEMPT), empty());
        assertThat(
                attempts(unresponsiveNanos + GRACE_NANOS, PEER_ATTEMPT),
                contains(new MemoryAction.CancelAttempt(ENGINE, PEER_ATTEMPT)));
    }

    /**
     * Guards against cancelling a running attempt that another component placed, when it takes more
     * memory than its engine has announced.
     */
    @Test
    void neverCancelsRecordedPlacementsOrNeededExports() {
        mLedger.recordPlacement(ENGINE, OWN_ATTEMPT, 1_000, 0);
        mLedger.setNeededExports(ENGINE, Set.of("entry:1:7:2/kv"));
        assertThat(attempts(0, OWN_ATTEMPT), empty());
        assertThat(attempts(20 * SECOND, OWN_ATTEMPT), empty());
        assertThat(exports(21 * SECOND, "entry:1:7:2/kv"), empty());
        assertThat(exports(40 * SECOND, "entry:1:7:2/kv"), empty());
        mLedger.raiseMaximumRequestDuration(LONGEST_REQUEST_NANOS / 2);
        assertThat(attempts(40 * SECOND, OWN_ATTEMPT, new AttemptId("strange")), empty());
        assertThat(
                attempts(
                        40 * SECOND + LONGEST_REQUEST_NANOS, OWN_ATTEMPT, new AttemptId("strange")),
                empty());
    }

    /** Guards against a leak of KV exports after the prompt that needed them has ended. */
    @Test
    void releasesOrphanedExportsButNotThoseStillNeeded() {
        AttemptId part = new AttemptId("entry:1:7:2");
        mLedger.reserve(ENGINE, part, 60, 0);
        mLedger.reserve(OTHER, OWN_ATTEMPT, 10, 0);
        mLedger.recordExport(ENGINE, "entry:1:7:2/kv", OWN_ATTEMPT);
        assertThat(exports(0, "entry:1:7:2/kv"), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(40L));
        mLedger.release(part);
        assertThat(exports(20 * SECOND, "entry:1:7:2/kv"), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(90L));
        mLedger.release(OWN_ATTEMPT);
        assertThat(exports(21 * SECOND, "entry:1:7:2/kv", "entry:2:3:1"), empty());
        assertThat(
                exports(21 * SECOND + GRACE_NANOS, "entry:1:7:2/kv", "entry:2:3:1"),
                contains(new MemoryAction.ReleaseExport(ENGINE, "entry:1:7:2/kv")));
    }

    /** Guards against a caller that waits for an attempt that its engine no longer runs. */
    @Test
    void reportsAttemptsThatTheEngineDoesNotList() {
        mLedger.reserve(ENGINE, OWN_ATTEMPT, 60, 0);
        assertThat(attempts(GRACE_NANOS - 1), empty());
        assertThat(attempts(GRACE_NANOS), empty());
        assertThat(
                attempts(GRACE_NANOS + 1),
                contains(new MemoryAction.AttemptMissing(ENGINE, OWN_ATTEMPT)));
    }

    /**
     * Guards against reservations kept across a restart of an engine, and against applying a
     * listing of an earlier incarnation.
     */
    @Test
    void startsEmptyWithNewIncarnations() {
        mLedger.reserve(ENGINE, OWN_ATTEMPT, 60, 0);
        mLedger.updateEngine(ENGINE, 2, 80);
        assertThat(mLedger.freeTokens(ENGINE), is(80L));
        attempts(0, PEER_ATTEMPT);
        assertThat(mLedger.freeTokens(ENGINE), is(80L));
        mLedger.removeEngine(ENGINE);
        assertThat(
                mLedger.reserve(ENGINE, OWN_ATTEMPT, 1, 0),
                instanceOf(ReserveDecision.InsufficientMemory.class));
    }

    /** Guards against partial reservations when one of several engines has too little memory. */
    @Test
    void reservesSeveralEnginesTogetherOrNotAtAll() {
        mLedger.reserve(OTHER, OWN_ATTEMPT, 60, 0);
        List<MemoryPart> parts =
                List.of(
                        new MemoryPart(ENGINE, new AttemptId("entry:1:7:2"), 50),
                        new MemoryPart(OTHER, new AttemptId("entry:1:7:3"), 50));
        assertThat(
                mLedger.reserveAll(parts, 0),
                is(new ReserveDecision.InsufficientMemory(OTHER, 40)));
        assertThat(mLedger.freeTokens(ENGINE), is(100L));
        mLedger.release(OWN_ATTEMPT);
        assertThat(mLedger.reserveAll(parts, 0), is(new ReserveDecision.Reserved()));
        assertThat(mLedger.freeTokens(ENGINE), is(50L));
    }

    /** Guards against attempt ids whose instance cannot be determined. */
    @Test
    void parsesTheIdsItGenerates() {
        AttemptIds ids = new AttemptIds(SELF, 7);
        assertThat(AttemptIds.originOf(ids.next()), is(Optional.of(new AttemptOrigin(SELF, 7, 0))));
        assertThat(ids.next(), is(OWN_ATTEMPT));
        assertThat(
                AttemptIds.originOfHandle("entry:1:7:1/a:b:1"),
                is(Optional.of(new AttemptOrigin(SELF, 7, 1))));
        for (String wrong : List.of("a:1", "a:b:1", "a:1:", "a:1:-1", "plain", "a::1")) {
            assertThat(wrong, AttemptIds.originOf(new AttemptId(wrong)), is(Optional.empty()));
        }
    }

    private List<MemoryAction> attempts(long nowNanos, AttemptId... listed) {
        List<EngineListing.HeldAttempt> held = new ArrayList<>();
        for (AttemptId attempt : listed) {
            held.add(new EngineListing.HeldAttempt(attempt, 10));
        }
        EngineListing listing = new EngineListing(ENGINE, 1, held, List.of());
        return mLedger.reconcile(listing, nowNanos, nowNanos);
    }

    private List<MemoryAction> exports(long nowNanos, String... handles) {
        List<EngineListing.HeldExport> held = new ArrayList<>();
        for (String handle : handles) {
            held.add(new EngineListing.HeldExport(handle, 10));
        }
        EngineListing listing = new EngineListing(ENGINE, 1, List.of(), held);
        return mLedger.reconcile(listing, nowNanos, nowNanos).stream()
                .filter(action -> !(action instanceof MemoryAction.AttemptMissing))
                .toList();
    }
}
