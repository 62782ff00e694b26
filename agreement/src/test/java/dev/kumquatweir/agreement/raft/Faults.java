package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Random faults and an operator who repairs, adds and removes members. */
final class Faults {
    private static final long MILLI = Simulation.MILLI;

    private final Simulation mSimulation;
    private final RandomGenerator mRandom;
    private boolean mActive = true;

    Faults(Simulation simulation) {
        mSimulation = simulation;
        mRandom = simulation.random();
        mSimulation.at(MILLI * 1_000, this::next);
        mSimulation.at(MILLI * 1_000, this::operate);
    }

    /** Ends all faults and starts whatever is down. */
    void heal() {
        mActive = false;
        mSimulation.healNetwork();
        mSimulation.setDiskDelay(2 * MILLI);
        for (SimulatedInstance instance : mSimulation.instances()) {
            instance.freezeUntil(0);
            instance.setDiskFull(false);
            bootIfDown(instance);
        }
    }

    private void next() {
        if (!mActive) {
            return;
        }
        SimulatedInstance victim = anyInstance();
        boolean brief = mRandom.nextInt(3) == 0;
        long duration = MILLI * (brief ? 1 + mRandom.nextLong(80) : 50 + mRandom.nextLong(2_500));
        switch (mRandom.nextInt(18)) {
            case 0, 1, 2 -> crash(victim, duration);
            case 3, 4 -> victim.freezeUntil(mSimulation.now() + duration);
            case 5 -> crash(mSimulation.leader().orElse(victim), duration);
            case 6 -> isolate(mSimulation.leader().orElse(victim), duration);
            case 7 -> isolate(victim, duration);
            case 8 -> blockOneWay(duration);
            case 9, 10 -> {
                mSimulation.setNetwork(
                        mRandom.nextDouble() * 0.3,
                        mRandom.nextDouble() * 0.3,
                        MILLI * (1 + mRandom.nextLong(400)));
                mSimulation.at(duration, mSimulation::healNetwork);
            }
            case 11 -> {
                mSimulation.setDiskDelay(MILLI * (1 + mRandom.nextLong(700)));
                mSimulation.at(duration, () -> mSimulation.setDiskDelay(2 * MILLI));
            }
            case 12 -> {
                victim.setDiskFull(true);
                mSimulation.at(duration, () -> victim.setDiskFull(false));
            }
            case 13 -> losePower(duration);
            case 14, 15 -> {
                separate(mSimulation.leader().orElse(victim), victim);
                mSimulation.at(duration, mSimulation::healNetwork);
            }
            default -> wipeIfRepaired(victim);
        }
        mSimulation.at(MILLI * (20 + mRandom.nextLong(700)), this::next);
    }

    private void crash(SimulatedInstance victim, long duration) {
        victim.crash();
        mSimulation.at(duration, () -> bootIfDown(victim));
    }

    private static void bootIfDown(SimulatedInstance instance) {
        if (!instance.isUp()) {
            instance.boot();
        }
    }

    /** Several instances crash at the same moment. */
    private void losePower(long duration) {
        for (int count = 0; count < 3; count++) {
            crash(anyInstance(), duration + mRandom.nextLong(300 * MILLI));
        }
    }

    /** Two instances that others reach do not reach each other. */
    private void separate(SimulatedInstance one, SimulatedInstance other) {
        mSimulation.block(one, other);
        mSimulation.block(other, one);
    }

    private void isolate(SimulatedInstance victim, long duration) {
        mSimulation.isolate(victim);
        mSimulation.at(duration, mSimulation::healNetwork);
    }

    private void blockOneWay(long duration) {
        mSimulation.block(anyInstance(), anyInstance());
        mSimulation.block(anyInstance(), anyInstance());
        mSimulation.at(duration, mSimulation::healNetwork);
    }

    /** Loses a disk, but only while each voter has the disk it voted and acknowledged with. */
    private void wipeIfRepaired(SimulatedInstance victim) {
        List<MemberId> voters = mSimulation.checker().committedMembership().voters();
        boolean repaired =
                voters.size() >= 3
                        && voters.stream().allMatch(this::hasItsDisk)
                        && mSimulation.instances().stream().allMatch(this::isSettled);
        if (repaired && !victim.disk().storeId().equals(MemberId.VOLATILE_STORE)) {
            mSimulation.wipe(victim);
            mSimulation.at(MILLI * (50 + mRandom.nextLong(800)), () -> bootIfDown(victim));
        }
    }

    private boolean hasItsDisk(MemberId voter) {
        return mSimulation.instance(voter.name()).disk().storeId().equals(voter.storeId());
    }

    /** A membership that some replica has and that is not committed may yet be. */
    private boolean isSettled(SimulatedInstance instance) {
        return !instance.isUp()
                || instance.node().membership().voters().stream().allMatch(this::hasItsDisk);
    }

    private void operate() {
        mSimulation.leader().ifPresent(this::operateAt);
        mSimulation.at(MILLI * 150, this::operate);
    }

    private void operateAt(SimulatedInstance leader) {
        if (leader.isFrozen()) {
            return;
        }
        for (SimulatedInstance instance : mSimulation.instances()) {
            MemberId id = instance.memberId();
            Optional<Member> member = leader.node().membership().byName(instance.name());
            boolean replaced = member.isPresent() && !member.get().id().equals(id);
            if (replaced) {
                leader.changeMembership(new MembershipChange.Replace(id, ""));
            } else if (member.isEmpty() && mRandom.nextInt(4) == 0) {
                leader.changeMembership(new MembershipChange.AddLearner(id, ""));
            } else if (member.isPresent() && !member.get().isVoter()) {
                leader.changeMembership(new MembershipChange.Promote(id));
            }
        }
        if (mActive && mRandom.nextInt(8) == 0) {
            leader.transfer(anyInstance().name());
        }
        int voters = leader.node().membership().voters().size();
        if (mActive && voters > 3 && mRandom.nextInt(8) == 0) {
            leader.changeMembership(new MembershipChange.Remove(anyInstance().name()));
        }
    }

    private SimulatedInstance anyInstance() {
        List<SimulatedInstance> all = List.copyOf(mSimulation.instances());
        return all.get(mRandom.nextInt(all.size()));
    }
}
