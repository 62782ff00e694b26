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
    private static final AttemptId OWN = new AttemptId("entry:1:7:1");
    private static final AttemptId PEERS = new AttemptId("entry:2:3:1");
    private static final long GRACE = 5 * SECOND;
    private static final long LONGEST = 30 * 60 * SECOND;

    private final InstanceDirectory mDirectory = new InstanceDirectory();
    private final MemoryLedger mLedger = MemoryLedger.builder(SELF, 7, mDirectory).build();

    MemoryLedgerTest() {
        mLedger.updateEngine(ENGINE, 1, 100);
        mLedger.updateEngine(OTHER, 1, 100);
    }

    /** Guards against an engine that runs on after its cancel was lost. */
    @Test
    void cancelsOwnAttemptsWhoseCancelWasLost() {
        mLedger.reserve(ENGINE, OWN, 60, 0);
        assertThat(attempts(0, OWN), empty());
        mLedger.release(OWN);
        assertThat(attempts(SECOND, OWN), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(90L));
        assertThat(attempts(SECOND + GRACE - 1, OWN), empty());
        MemoryAction cancel = new MemoryAction.CancelAttempt(ENGINE, OWN);
        assertThat(attempts(SECOND + GRACE, OWN), contains(cancel));
        assertThat(attempts(20 * SECOND, OWN), contains(cancel));
        assertThat(attempts(21 * SECOND), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(100L));
    }

    /** Guards against streams of an earlier start of this instance that nobody reads. */
    @Test
    void cancelsOrphanedStreamsOfAnEarlierIncarnation() {
        AttemptId orphan = new AttemptId("entry:1:6:9");
        attempts(0, orphan);
        assertThat(
                attempts(GRACE, orphan), contains(new MemoryAction.CancelAttempt(ENGINE, orphan)));
    }

    /** Guards against memory that a dead instance leaves behind for ever. */
    @Test
    void cancelsAttemptsOfRestartedAndStoppedInstances() {
        mDirectory.recordContact(PEER, 3, 0);
        assertThat(attempts(0, PEERS), empty());
        mDirectory.recordContact(PEER, 4, SECOND);
        assertThat(attempts(SECOND, PEERS), empty());
        MemoryAction cancel = new MemoryAction.CancelAttempt(ENGINE, PEERS);
        assertThat(attempts(SECOND + GRACE, PEERS), contains(cancel));
        AttemptId stopped = new AttemptId("entry:2:4:1");
        mDirectory.recordTermination(PEER, 4, 10 * SECOND);
        attempts(10 * SECOND, stopped);
        assertThat(
                attempts(10 * SECOND + GRACE, stopped),
                contains(new MemoryAction.CancelAttempt(ENGINE, stopped)));
    }

    /** Guards against long documents cancelled because their instance is cut off from this one. */
    @Test
    void leavesTheWorkOfSilentInstancesUntilItMustHaveEnded() {
        mDirectory.recordContact(PEER, 3, 0);
        long seen = 100 * LONGEST;
        assertThat(attempts(seen, PEERS), empty());
        assertThat(attempts(seen + LONGEST + GRACE - 1, PEERS), empty());
        assertThat(attempts(seen + LONGEST + GRACE, PEERS), not(empty()));
        mDirectory.recordContact(PEER, 3, seen + LONGEST + GRACE);
        assertThat(attempts(seen + LONGEST + GRACE, PEERS), empty());
    }

    /** Guards against attempts of unknown makers, and of incarnations not yet heard of. */
    @Test
    void leavesWhatItCannotAttributeUntilItMustHaveEnded() {
        AttemptId strange = new AttemptId("manual-test");
        mDirectory.recordContact(PEER, 2, 0);
        assertThat(attempts(0, strange, PEERS), empty());
        assertThat(
                attempts(LONGEST + GRACE, strange, PEERS),
                contains(new MemoryAction.CancelAttempt(ENGINE, strange)));
    }

    /** Guards against live work taken for a dead start's after a wall clock was set back. */
    @Test
    void leavesTheWorkOfIncarnationsHeardAfterHigherOnes() {
        mDirectory.recordContact(PEER, 9, 0);
        mDirectory.recordContact(PEER, 3, SECOND);
        assertThat(attempts(SECOND, PEERS), empty());
        assertThat(attempts(SECOND + 2 * GRACE, PEERS), empty());
        assertThat(mDirectory.liveInstances(SECOND), contains(PEER));
    }

    /** Guards against a leak of this instance's own earlier start under a higher number. */
    @Test
    void endsItsOwnHigherIncarnationWhenItMustHaveEnded() {
        AttemptId earlier = new AttemptId("entry:1:8:0");
        assertThat(attempts(0, earlier), empty());
        assertThat(attempts(LONGEST + GRACE - 1, earlier), empty());
        assertThat(
                attempts(LONGEST + GRACE, earlier),
                contains(new MemoryAction.CancelAttempt(ENGINE, earlier)));
    }

    /** Guards against memory of removed members kept, and against harm to one that still serves. */
    @Test
    void endsTheWorkOfRemovedInstancesUnlessTheyAreHeard() {
        mDirectory.recordContact(PEER, 3, 0);
        mDirectory.setRemoved(Set.of(PEER));
        assertThat(attempts(SECOND, PEERS), empty());
        long silent = InstanceDirectory.LIVENESS_TIMEOUT_NANOS;
        assertThat(attempts(silent, PEERS), empty());
        assertThat(
                attempts(silent + GRACE, PEERS),
                contains(new MemoryAction.CancelAttempt(ENGINE, PEERS)));
    }

    /**
     * Guards against a running attempt cancelled since its engine reported less room than it took.
     */
    @Test
    void neverEndsWhatWasPlacedElsewhere() {
        mLedger.recordPlacement(ENGINE, OWN, 1_000, 0);
        mLedger.setNeededExports(ENGINE, Set.of("entry:1:7:2/kv"));
        assertThat(attempts(0, OWN), empty());
        assertThat(attempts(20 * SECOND, OWN), empty());
        assertThat(exports(21 * SECOND, "entry:1:7:2/kv"), empty());
        assertThat(exports(40 * SECOND, "entry:1:7:2/kv"), empty());
        mLedger.raiseMaximumRequestDuration(LONGEST / 2);
        assertThat(attempts(40 * SECOND, OWN, new AttemptId("strange")), empty());
        assertThat(attempts(40 * SECOND + LONGEST, OWN, new AttemptId("strange")), empty());
    }

    /** Guards against KV exports that outlive the prompt they were made for. */
    @Test
    void releasesForgottenExportsButNotThoseStillNeeded() {
        AttemptId part = new AttemptId("entry:1:7:2");
        mLedger.reserve(ENGINE, part, 60, 0);
        mLedger.reserve(OTHER, OWN, 10, 0);
        mLedger.recordExport(ENGINE, "entry:1:7:2/kv", OWN);
        assertThat(exports(0, "entry:1:7:2/kv"), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(40L));
        mLedger.release(part);
        assertThat(exports(20 * SECOND, "entry:1:7:2/kv"), empty());
        assertThat(mLedger.freeTokens(ENGINE), is(90L));
        mLedger.release(OWN);
        assertThat(exports(21 * SECOND, "entry:1:7:2/kv", "entry:2:3:1"), empty());
        assertThat(
                exports(21 * SECOND + GRACE, "entry:1:7:2/kv", "entry:2:3:1"),
                contains(new MemoryAction.ReleaseExport(ENGINE, "entry:1:7:2/kv")));
    }

    /** Guards against a caller that waits for an attempt which its engine has lost. */
    @Test
    void reportsAttemptsThatTheEngineDoesNotKnow() {
        mLedger.reserve(ENGINE, OWN, 60, 0);
        assertThat(attempts(GRACE - 1), empty());
        assertThat(attempts(GRACE), empty());
        assertThat(attempts(GRACE + 1), contains(new MemoryAction.AttemptMissing(ENGINE, OWN)));
    }

    /** Guards against a listing of an engine's earlier start, and memory kept across a restart. */
    @Test
    void startsEmptyWithNewIncarnations() {
        mLedger.reserve(ENGINE, OWN, 60, 0);
        mLedger.updateEngine(ENGINE, 2, 80);
        assertThat(mLedger.freeTokens(ENGINE), is(80L));
        attempts(0, PEERS);
        assertThat(mLedger.freeTokens(ENGINE), is(80L));
        mLedger.removeEngine(ENGINE);
        assertThat(
                mLedger.reserve(ENGINE, OWN, 1, 0),
                instanceOf(ReserveDecision.InsufficientMemory.class));
    }

    /** Guards against parts left reserved when one engine of several has no room. */
    @Test
    void reservesSeveralEnginesTogetherOrNotAtAll() {
        mLedger.reserve(OTHER, OWN, 60, 0);
        List<MemoryPart> parts =
                List.of(
                        new MemoryPart(ENGINE, new AttemptId("entry:1:7:2"), 50),
                        new MemoryPart(OTHER, new AttemptId("entry:1:7:3"), 50));
        assertThat(
                mLedger.reserveAll(parts, 0),
                is(new ReserveDecision.InsufficientMemory(OTHER, 40)));
        assertThat(mLedger.freeTokens(ENGINE), is(100L));
        mLedger.release(OWN);
        assertThat(mLedger.reserveAll(parts, 0), is(new ReserveDecision.Reserved()));
        assertThat(mLedger.freeTokens(ENGINE), is(50L));
    }

    /** Guards against ids that can't be traced to their instance. */
    @Test
    void readsBackTheIdsItMakes() {
        AttemptIds ids = new AttemptIds(SELF, 7);
        assertThat(AttemptIds.originOf(ids.next()), is(Optional.of(new AttemptOrigin(SELF, 7, 0))));
        assertThat(ids.next(), is(OWN));
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
