package dev.kumquatweir.agreement.raft;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.CommandId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Scenarios of a whole group of three voters with one fault at a time. */
class GroupTest {
    private static final long SEED = 11;

    private final Simulation mSimulation =
            new Simulation(SEED, 3, Simulation.smallSettings().build());
    private long mNumber;

    @BeforeEach
    void awaitLeader() {
        mSimulation.runUntil("a leader", () -> mSimulation.leader().isPresent());
        mSimulation.runFor(2_000 * Simulation.MILLI);
    }

    // Guards against losing a change when a second voter's disk is lost right after a repair.
    @Test
    void secondVoterLostRightAfterRepairLosesNothing() {
        changeConfiguration(3);
        SimulatedInstance leader = leader();
        SimulatedInstance first = anyFollower();
        repair(first);
        // Whoever led before the repair has the entries; it is the one that is lost now.
        leader.crash();
        mSimulation.wipe(leader);
        mSimulation.runUntil(
                "another leader",
                () -> mSimulation.leader().filter(other -> other != leader).isPresent());
        assertThat(leader().machine().configurationVersion(), equalTo(3L));
        assertThat(leader().machine().configurationDocument(), equalTo(document(3)));
        changeConfiguration(1);
        assertThat(leader().machine().configurationVersion(), equalTo(4L));
    }

    // Guards against an old leader that keeps serving, and against a disturbance on its return.
    @Test
    void partitionedOldLeaderNeitherGrantsNorDisturbs() {
        SimulatedInstance old = leader();
        mSimulation.isolate(old);
        mSimulation.runFor(600 * Simulation.MILLI);
        assertThat(old.node().leaderLeaseNanos(old.localNanos()), equalTo(0L));
        mSimulation.runUntil(
                "another leader",
                () -> mSimulation.leader().filter(other -> other != old).isPresent());
        mSimulation.runFor(20_000 * Simulation.MILLI);
        assertThat(old.holder().maySend(old.localNanos()), is(false));
        assertThat(old.isLeader(), is(false));
        SimulatedInstance present = leader();
        long term = present.node().term();
        assertThat(old.node().term(), lessThan(term));
        mSimulation.healNetwork();
        mSimulation.runFor(5_000 * Simulation.MILLI);
        assertThat(leader(), is(present));
        assertThat(present.node().term(), equalTo(term));
        assertThat(old.holder().maySend(old.localNanos()), is(true));
    }

    // Guards against a change that waits for ever for an instance that can't answer.
    @Test
    void changeIsInForceWithinThreeSecondsBesideSilentInstance() {
        SimulatedInstance silent = anyFollower();
        mSimulation.runFor(1_000 * Simulation.MILLI);
        mSimulation.isolate(silent);
        long before = mSimulation.now();
        changeConfiguration(1);
        mSimulation.runUntil("in force", () -> mSimulation.checker().versionInForce() == 1);
        assertThat(mSimulation.now() - before, lessThan(3_000 * Simulation.MILLI));
        assertThat(silent.holder().maySend(silent.localNanos()), is(false));
    }

    // Guards against an election timeout without a leader at each planned stop.
    @Test
    void transferMovesLeadershipWithoutTimeout() {
        SimulatedInstance old = leader();
        SimulatedInstance target = anyFollower();
        old.transfer(target.name());
        mSimulation.runFor(100 * Simulation.MILLI);
        assertThat(leader(), is(target));
        assertThat(old.isLeader(), is(false));
    }

    // Guards against a learner that can't join once the log before its start is compacted.
    @Test
    void emptyInstanceJoinsBySnapshotAndIsPromoted() {
        changeConfiguration(60);
        SimulatedInstance spare = mSimulation.instance("spare");
        MemberId id = spare.memberId();
        leader().changeMembership(new MembershipChange.AddLearner(id, ""));
        mSimulation.runUntil(
                "promotion",
                () -> {
                    leader().changeMembership(new MembershipChange.Promote(id));
                    return mSimulation.checker().committedMembership().isVoter(id);
                });
        assertThat(spare.machine().configurationVersion(), equalTo(60L));
        assertThat(spare.node().replica().log().snapshotIndex(), greaterThan(1L));
    }

    // Guards against a group that does not come back after all its instances lost power at once.
    @Test
    void wholeGroupRestartsWithAllChanges() {
        changeConfiguration(40);
        for (int round = 0; round < 3; round++) {
            mSimulation.instances().forEach(SimulatedInstance::crash);
            mSimulation.instances().forEach(SimulatedInstance::boot);
            mSimulation.runUntil("a leader", () -> mSimulation.leader().isPresent());
        }
        assertThat(leader().machine().configurationVersion(), equalTo(40L));
    }

    private void repair(SimulatedInstance lost) {
        mSimulation.wipe(lost);
        lost.boot();
        MemberId id = lost.memberId();
        leader().changeMembership(new MembershipChange.Replace(id, ""));
        mSimulation.runUntil(
                "promotion of the repaired voter",
                () -> {
                    leader().changeMembership(new MembershipChange.Promote(id));
                    return mSimulation.checker().committedMembership().isVoter(id);
                });
    }

    private void changeConfiguration(int count) {
        for (int done = 0; done < count; done++) {
            long version = mSimulation.checker().reference().configurationVersion();
            mNumber++;
            var command = new CommandId("change-" + mNumber);
            leader().propose(
                            millis ->
                                    new StateCommand.ApplyConfiguration(
                                            millis,
                                            command,
                                            "operator",
                                            version,
                                            document(version + 1)),
                            result ->
                                    assertThat(
                                            result.orElseThrow(),
                                            equalTo(
                                                    new StateResult.ConfigurationAccepted(
                                                            version + 1))));
            mSimulation.runUntil(
                    "change",
                    () -> mSimulation.checker().reference().configurationVersion() == version + 1);
        }
    }

    private static Bytes document(long version) {
        return Bytes.ofText("document " + version);
    }

    private SimulatedInstance leader() {
        return mSimulation.leader().orElseThrow();
    }

    private SimulatedInstance anyFollower() {
        return mSimulation.instances().stream()
                .filter(each -> each != leader() && each.node().replica().isVoter())
                .findFirst()
                .orElseThrow();
    }
}
