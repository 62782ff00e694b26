package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.core.bytes.Bytes;

/** One random run: clients, faults, then progress without faults. */
final class RandomRun {
    private static final long FAULTS_NANOS = 7_000 * Simulation.MILLI;

    private final Simulation mSimulation;
    private final Workload mWorkload;
    private final Faults mFaults;

    RandomRun(long seed, RaftSettings settings) {
        int voters = seed % 4 == 0 ? 5 : 3;
        mSimulation = new Simulation(seed, voters, settings);
        mWorkload = new Workload(mSimulation);
        mFaults = new Faults(mSimulation);
    }

    Simulation simulation() {
        return mSimulation;
    }

    Workload workload() {
        return mWorkload;
    }

    void run() {
        mSimulation.runFor(FAULTS_NANOS);
        mFaults.heal();
        long before = mSimulation.checker().committedIndex();
        mSimulation.runFor(2_500 * Simulation.MILLI);
        mSimulation.runUntil(
                "commits after the faults",
                () ->
                        mSimulation.leader().isPresent()
                                && mSimulation.checker().committedIndex() > before + 5);
        mSimulation.runUntil("equal states", this::statesAreEqual);
    }

    /** Compares all members that have applied as much as the reference state. */
    private boolean statesAreEqual() {
        SafetyChecker checker = mSimulation.checker();
        Bytes expected = checker.reference().snapshot();
        int equal = 0;
        for (SimulatedInstance instance : mSimulation.instances()) {
            if (instance.node().commitIndex() == checker.committedIndex()) {
                checker.require(
                        instance.machine().snapshot().equals(expected),
                        "state machine safety",
                        instance.name() + " differs");
                equal++;
            }
        }
        return equal >= checker.committedMembership().quorum();
    }
}
