package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.core.bytes.Bytes;

/** One seeded run: a client workload under faults, then required progress without faults. */
final class RandomRun {
    private static final long FAULT_PHASE_NANOS = 7_000 * Simulation.NANOS_PER_MILLI;

    private final Simulation mSimulation;
    private final Workload mWorkload;
    private final FaultInjector mFaultInjector;

    RandomRun(long seed, RaftSettings settings) {
        int voters = seed % 4 == 0 ? 5 : 3;
        mSimulation = new Simulation(seed, voters, settings);
        mWorkload = new Workload(mSimulation);
        mFaultInjector = new FaultInjector(mSimulation);
    }

    Simulation simulation() {
        return mSimulation;
    }

    Workload workload() {
        return mWorkload;
    }

    void run() {
        mSimulation.runFor(FAULT_PHASE_NANOS);
        mFaultInjector.stopAndRepair();
        long committedBefore = mSimulation.checker().committedIndex();
        mSimulation.runFor(2_500 * Simulation.NANOS_PER_MILLI);
        mSimulation.runUntil(
                "commits after the faults",
                () ->
                        mSimulation.leader().isPresent()
                                && mSimulation.checker().committedIndex() > committedBefore + 5);
        mSimulation.runUntil("equal states", this::quorumMatchesReference);
    }

    /** Compares instances that have applied all committed entries with the reference state. */
    private boolean quorumMatchesReference() {
        SafetyChecker checker = mSimulation.checker();
        Bytes expected = checker.reference().snapshot();
        int matching = 0;
        for (SimulatedInstance instance : mSimulation.instances()) {
            if (instance.node().commitIndex() == checker.committedIndex()) {
                checker.require(
                        instance.stateMachine().snapshot().equals(expected),
                        "state machine safety",
                        instance.name() + " differs");
                matching++;
            }
        }
        return matching >= checker.committedMembership().quorum();
    }
}
