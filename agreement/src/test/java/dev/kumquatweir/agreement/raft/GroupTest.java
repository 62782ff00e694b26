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

/** Scenarios with a simulated group of three voters and few faults each. */
class GroupTest {
    private static final long SEED = 11;

    private final Simulation mSimulation =
            new Simulation(SEED, 3, Simulation.smallSettings().build());
    private long mChangeNumber;

    @BeforeEach
    void awaitLeader() {
        mSimulation.runUntil("a leader", () -> mSimulation.leader().isPresent());
        mSimulation.runFor(2_000 * Simulation.NANOS_PER_MILLI);
    }

    // Guards against a lost change when a second disk is lost right after the first was replaced.
    @Test
    void noChangeIsLostWhenSecondDiskFailsRightAfterRepair() {
        changeConfiguration(3);
        SimulatedInstance leader = leader();
        SimulatedInstance first = anyFollower();
        replaceAndPromote(first);
        // The old leader certainly has the entries, so its disk is the one to lose.
        leader.crash();
        mSimulation.wipe(leader);
        mSimulation.runUntil(
                "another leader",
                () -> mSimulation.leader().filter(other -> other != leader).isPresent());
        assertThat(leader().stateMachine().configurationVersion(), equalTo(3L));
        assertThat(leader().stateMachine().configurationDocument(), equalTo(document(3)));
        changeConfiguration(1);
        assertThat(leader().stateMachine().configurationVersion(), equalTo(4L));
    }

    // Guards against a partitioned leader that keeps its lease or forces an election on return.
    @Test
    void partitionedLeaderLosesLeaseAndRejoinsWithoutNewTerm() {
        SimulatedInstance old = leader();
        mSimulation.isolate(old);
        mSimulation.runFor(600 * Simulation.NANOS_PER_MILLI);
        assertThat(old.node().leaderLeaseNanos(old.localNanos()), equalTo(0L));
        mSimulation.runUntil(
                "another leader",
                () -> mSimulation.leader().filter(other -> other != old).isPresent());
        mSimulation.runFor(20_000 * Simulation.NANOS_PER_MILLI);
        assertThat(old.leaseHolder().maySend(old.localNanos()), is(false));
        assertThat(old.isLeader(), is(false));
        SimulatedInstance current = leader();
        long term = current.node().term();
        assertThat(old.node().term(), lessThan(term));
        mSimulation.healNetwork();
        mSimulation.runFor(5_000 * Simulation.NANOS_PER_MILLI);
        assertThat(leader(), is(current));
        assertThat(current.node().term(), equalTo(term));
        assertThat(old.leaseHolder().maySend(old.localNanos()), is(true));
    }

    // Guards against a change that waits forever for an unreachable instance.
    @Test
    void changeIsInForceWithinThreeSecondsDespiteIsolatedInstance() {
        SimulatedInstance isolated = anyFollower();
        mSimulation.runFor(1_000 * Simulation.NANOS_PER_MILLI);
        mSimulation.isolate(isolated);
        long startNanos = mSimulation.nowNanos();
        changeConfiguration(1);
        mSimulation.runUntil("in force", () -> mSimulation.checker().versionInForce() == 1);
        assertThat(
                mSimulation.nowNanos() - startNanos, lessThan(3_000 * Simulation.NANOS_PER_MILLI));
        assertThat(isolated.leaseHolder().maySend(isolated.localNanos()), is(false));
    }

    // Guards against an election timeout without a leader at each planned shutdown.
    @Test
    void leadershipTransferNeedsNoElectionTimeout() {
        SimulatedInstance old = leader();
        SimulatedInstance target = anyFollower();
        old.transfer(target.name());
        mSimulation.runFor(100 * Simulation.NANOS_PER_MILLI);
        assertThat(leader(), is(target));
        assertThat(old.isLeader(), is(false));
    }

    // Guards against a learner that cannot join once the start of the log is compacted.
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
        assertThat(spare.stateMachine().configurationVersion(), equalTo(60L));
        assertThat(spare.node().replica().log().snapshotIndex(), greaterThan(1L));
    }

    // Guards against a group that does not recover when all instances lose power at once.
    @Test
    void changesSurviveRestartOfAllInstances() {
        changeConfiguration(40);
        for (int round = 0; round < 3; round++) {
            mSimulation.instances().forEach(SimulatedInstance::crash);
            mSimulation.instances().forEach(SimulatedInstance::start);
            mSimulation.runUntil("a leader", () -> mSimulation.leader().isPresent());
        }
        assertThat(leader().stateMachine().configurationVersion(), equalTo(40L));
    }

    private void replaceAndPromote(SimulatedInstance lost) {
        mSimulation.wipe(lost);
        lost.start();
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
        for (int completed = 0; completed < count; completed++) {
            long version = mSimulation.checker().reference().configurationVersion();
            mChangeNumber++;
            var command = new CommandId("change-" + mChangeNumber);
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
                .filter(instance -> instance != leader() && instance.node().replica().isVoter())
                .findFirst()
                .orElseThrow();
    }
}
