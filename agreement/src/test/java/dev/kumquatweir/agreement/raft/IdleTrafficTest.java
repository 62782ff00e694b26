package dev.kumquatweir.agreement.raft;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdleTrafficTest {
    private static final int SECONDS = 20;
    private static final long MAX_BYTES_PER_SECOND = 27_000;

    // Guards against heartbeats that exceed a node's network share for control traffic (27 KB/s).
    @ParameterizedTest
    @ValueSource(ints = {4, 8, 16, 32})
    void idleLeaderStaysWithinTrafficLimit(int members) {
        var settings = RaftSettings.builder(Simulation.CLUSTER).build();
        var simulation = new Simulation(5, 3, members - 3, settings);
        simulation.runUntil("a leader", () -> simulation.leader().isPresent());
        simulation.runFor(3_000 * Simulation.NANOS_PER_MILLI);
        SimulatedInstance leader = simulation.leader().orElseThrow();
        SimulatedInstance voter = simulation.instance(leader.name().equals("a") ? "b" : "a");
        SimulatedInstance learner = simulation.instance("learner-1");
        simulation.countTraffic();
        simulation.runFor(SECONDS * 1_000 * Simulation.NANOS_PER_MILLI);
        System.out.println(
                "idle traffic with "
                        + members
                        + " members, messages/s and bytes/s sent: leader "
                        + rate(simulation, leader)
                        + ", voter "
                        + rate(simulation, voter)
                        + ", learner "
                        + rate(simulation, learner));
        assertThat(simulation.bytesOf(leader) / SECONDS, lessThan(MAX_BYTES_PER_SECOND));
    }

    private static String rate(Simulation simulation, SimulatedInstance sender) {
        return simulation.messagesOf(sender) / SECONDS
                + " and "
                + simulation.bytesOf(sender) / SECONDS;
    }
}
