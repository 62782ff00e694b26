package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Injects random faults and simulates an operator who repairs, adds and removes members. */
final class FaultInjector {
    private static final long NANOS_PER_MILLI = Simulation.NANOS_PER_MILLI;

    private final Simulation mSimulation;
    private final RandomGenerator mRandom;
    private boolean mActive = true;

    FaultInjector(Simulation simulation) {
        mSimulation = simulation;
        mRandom = simulation.random();
        mSimulation.schedule(NANOS_PER_MILLI * 1_000, this::injectNextFault);
        mSimulation.schedule(NANOS_PER_MILLI * 1_000, this::runOperator);
    }

    /** Ends all faults and starts all instances that are down. */
    void stopAndRepair() {
        mActive = false;
        mSimulation.healNetwork();
        mSimulation.setMaxDiskDelayNanos(2 * NANOS_PER_MILLI);
        for (SimulatedInstance instance : mSimulation.instances()) {
            instance.freezeUntil(0);
            instance.setDiskFull(false);
            startIfDown(instance);
        }
    }

    private void injectNextFault() {
        if (!mActive) {
            return;
        }
        SimulatedInstance victim = randomInstance();
        boolean shortFault = mRandom.nextInt(3) == 0;
        long durationNanos =
                NANOS_PER_MILLI
                        * (shortFault ? 1 + mRandom.nextLong(80) : 50 + mRandom.nextLong(2_500));
        switch (mRandom.nextInt(18)) {
            case 0, 1, 2 -> crash(victim, durationNanos);
            case 3, 4 -> victim.freezeUntil(mSimulation.nowNanos() + durationNanos);
            case 5 -> crash(mSimulation.leader().orElse(victim), durationNanos);
            case 6 -> isolate(mSimulation.leader().orElse(victim), durationNanos);
            case 7 -> isolate(victim, durationNanos);
            case 8 -> blockOneWay(durationNanos);
            case 9, 10 -> {
                mSimulation.setNetworkFaults(
                        mRandom.nextDouble() * 0.3,
                        mRandom.nextDouble() * 0.3,
                        NANOS_PER_MILLI * (1 + mRandom.nextLong(400)));
                mSimulation.schedule(durationNanos, mSimulation::healNetwork);
            }
            case 11 -> {
                mSimulation.setMaxDiskDelayNanos(NANOS_PER_MILLI * (1 + mRandom.nextLong(700)));
                mSimulation.schedule(
                        durationNanos, () -> mSimulation.setMaxDiskDelayNanos(2 * NANOS_PER_MILLI));
            }
            case 12 -> {
                victim.setDiskFull(true);
                mSimulation.schedule(durationNanos, () -> victim.setDiskFull(false));
            }
            case 13 -> crashSeveral(durationNanos);
            case 14, 15 -> {
                partition(mSimulation.leader().orElse(victim), victim);
                mSimulation.schedule(durationNanos, mSimulation::healNetwork);
            }
            default -> wipeIfAllVotersIntact(victim);
        }
        mSimulation.schedule(NANOS_PER_MILLI * (20 + mRandom.nextLong(700)), this::injectNextFault);
    }

    private void crash(SimulatedInstance victim, long durationNanos) {
        victim.crash();
        mSimulation.schedule(durationNanos, () -> startIfDown(victim));
    }

    private static void startIfDown(SimulatedInstance instance) {
        if (!instance.isUp()) {
            instance.start();
        }
    }

    /** Crashes up to three instances at the same time. */
    private void crashSeveral(long durationNanos) {
        for (int count = 0; count < 3; count++) {
            crash(randomInstance(), durationNanos + mRandom.nextLong(300 * NANOS_PER_MILLI));
        }
    }

    /** Blocks the link between two instances in both directions. */
    private void partition(SimulatedInstance first, SimulatedInstance second) {
        mSimulation.block(first, second);
        mSimulation.block(second, first);
    }

    private void isolate(SimulatedInstance victim, long durationNanos) {
        mSimulation.isolate(victim);
        mSimulation.schedule(durationNanos, mSimulation::healNetwork);
    }

    private void blockOneWay(long durationNanos) {
        mSimulation.block(randomInstance(), randomInstance());
        mSimulation.block(randomInstance(), randomInstance());
        mSimulation.schedule(durationNanos, mSimulation::healNetwork);
    }

    /** Wipes a disk, but only while each voter still has the store named in the membership. */
    private void wipeIfAllVotersIntact(SimulatedInstance victim) {
        List<MemberId> voters = mSimulation.checker().committedMembership().voters();
        boolean votersIntact =
                voters.size() >= 3
                        && voters.stream().allMatch(this::hasCurrentStore)
                        && mSimulation.instances().stream().allMatch(this::hasIntactVoters);
        if (votersIntact && !victim.disk().storeId().equals(MemberId.VOLATILE_STORE)) {
            mSimulation.wipe(victim);
            mSimulation.schedule(
                    NANOS_PER_MILLI * (50 + mRandom.nextLong(800)), () -> startIfDown(victim));
        }
    }

    private boolean hasCurrentStore(MemberId voter) {
        return mSimulation.instance(voter.name()).disk().storeId().equals(voter.storeId());
    }

    /** Checks the uncommitted membership of an instance too, as it may still be committed. */
    private boolean hasIntactVoters(SimulatedInstance instance) {
        return !instance.isUp()
                || instance.node().membership().voters().stream().allMatch(this::hasCurrentStore);
    }

    private void runOperator() {
        mSimulation.leader().ifPresent(this::changeMembersAt);
        mSimulation.schedule(NANOS_PER_MILLI * 150, this::runOperator);
    }

    private void changeMembersAt(SimulatedInstance leader) {
        if (leader.isFrozen()) {
            return;
        }
        for (SimulatedInstance instance : mSimulation.instances()) {
            MemberId id = instance.memberId();
            Optional<Member> member = leader.node().membership().byName(instance.name());
            boolean storeChanged = member.isPresent() && !member.get().id().equals(id);
            if (storeChanged) {
                leader.changeMembership(new MembershipChange.Replace(id, ""));
            } else if (member.isEmpty() && mRandom.nextInt(4) == 0) {
                leader.changeMembership(new MembershipChange.AddLearner(id, ""));
            } else if (member.isPresent() && !member.get().isVoter()) {
                leader.changeMembership(new MembershipChange.Promote(id));
            }
        }
        if (mActive && mRandom.nextInt(8) == 0) {
            leader.transfer(randomInstance().name());
        }
        int voters = leader.node().membership().voters().size();
        if (mActive && voters > 3 && mRandom.nextInt(8) == 0) {
            leader.changeMembership(new MembershipChange.Remove(randomInstance().name()));
        }
    }

    private SimulatedInstance randomInstance() {
        List<SimulatedInstance> all = List.copyOf(mSimulation.instances());
        return all.get(mRandom.nextInt(all.size()));
    }
}
