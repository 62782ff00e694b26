package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.state.ClaimKey;
import dev.kumquatweir.agreement.state.Claimant;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Clients that race on compare-and-set and on claims, send again, give up and read. */
final class Workload {
    private static final long MILLI = Simulation.MILLI;
    private static final long SEND_BY_NANOS = 1_000 * MILLI;

    private final Simulation mSimulation;
    private final RandomGenerator mRandom;
    private final Map<CommandId, StateResult> mCommandResults = new HashMap<>();
    private int mNumber;
    private int mAccepted;
    private int mExecuted;

    Workload(Simulation simulation) {
        mSimulation = simulation;
        mRandom = simulation.random();
        mSimulation.at(MILLI * 700, this::next);
    }

    int accepted() {
        return mAccepted;
    }

    int executed() {
        return mExecuted;
    }

    private void next() {
        List<SimulatedInstance> all = List.copyOf(mSimulation.instances());
        SimulatedInstance origin = all.get(mRandom.nextInt(all.size()));
        if (origin.isUp() && !origin.isFrozen()) {
            switch (mRandom.nextInt(8)) {
                case 0, 1 -> changeConfiguration(origin);
                case 2, 3, 4, 5 -> origin.incarnation().ifPresent(life -> claim(origin, life));
                case 6 -> origin.read();
                default -> mSimulation.request(origin, StateCommand.Expire::new, _ -> {});
            }
        }
        mSimulation.at(MILLI * (5 + mRandom.nextLong(60)), this::next);
    }

    private void changeConfiguration(SimulatedInstance origin) {
        var command = new CommandId("command-" + mRandom.nextInt(200));
        long base = origin.machine().configurationVersion();
        Bytes document = Bytes.ofText(command + " from " + base);
        mSimulation.request(
                origin,
                millis ->
                        new StateCommand.ApplyConfiguration(
                                millis, command, origin.name(), base, document),
                result -> result.ifPresent(known -> onConfigurationResult(command, known)));
    }

    private void onConfigurationResult(CommandId command, StateResult result) {
        StateResult first = mCommandResults.putIfAbsent(command, result);
        mSimulation
                .checker()
                .require(
                        first == null || first.equals(result),
                        "results by command id",
                        command + " got two results");
        if (result instanceof StateResult.ConfigurationAccepted) {
            mAccepted++;
        }
    }

    private void claim(SimulatedInstance origin, long incarnation) {
        mNumber++;
        var claimant =
                new Claimant(
                        new RequestId("request-" + mNumber),
                        new InstanceId(origin.name()),
                        incarnation);
        var key =
                new ClaimKey(
                        new TeamName("team"), new IdempotencyKey("key-" + mRandom.nextInt(40)));
        String hash = mRandom.nextInt(10) == 0 ? "other" : "hash";
        new Attempt(origin, claimant, key, hash).start();
    }

    /** One request that may not be repeated, at one instance. */
    private final class Attempt {
        private final SimulatedInstance mOrigin;
        private final Claimant mClaimant;
        private final ClaimKey mKey;
        private final String mHash;
        private final long mAskedNanos;
        private boolean mDecided;

        Attempt(SimulatedInstance origin, Claimant claimant, ClaimKey key, String hash) {
            mOrigin = origin;
            mClaimant = claimant;
            mKey = key;
            mHash = hash;
            mAskedNanos = origin.localNanos();
        }

        void start() {
            ask();
            if (mRandom.nextInt(3) == 0) {
                // A second copy, as after a lost answer.
                mSimulation.later(mOrigin, MILLI * mRandom.nextLong(900), this::ask);
            }
            mSimulation.later(mOrigin, SEND_BY_NANOS, this::giveUp);
        }

        private void ask() {
            long limit = 200 + mRandom.nextLong(4_000);
            mSimulation.request(
                    mOrigin,
                    millis -> new StateCommand.Claim(millis, mClaimant, mKey, mHash, limit),
                    this::onDecision);
        }

        private void onDecision(Optional<StateResult> result) {
            if (mDecided || result.isEmpty()) {
                return;
            }
            mDecided = true;
            if (!(result.get() instanceof StateResult.ClaimGranted)) {
                return;
            }
            boolean inTime = mOrigin.localNanos() - mAskedNanos < SEND_BY_NANOS;
            if (!inTime || mRandom.nextInt(4) == 0) {
                report(new ClaimOutcome.NotExecuted(), 5);
                return;
            }
            mSimulation.checker().onExecuted(mKey, mClaimant);
            mExecuted++;
            Bytes body = Bytes.ofText("answer for " + mClaimant.requestId());
            ClaimOutcome outcome =
                    mRandom.nextInt(5) == 0
                            ? new ClaimOutcome.Unknown()
                            : new ClaimOutcome.Finished(
                                    new RecordedResponse(200, "text/plain", body, true));
            long delay = MILLI * mRandom.nextLong(1_500);
            mSimulation.later(mOrigin, delay, () -> report(outcome, 5));
        }

        private void giveUp() {
            if (!mDecided) {
                mDecided = true;
                report(new ClaimOutcome.NotExecuted(), 5);
            }
        }

        private void report(ClaimOutcome outcome, int tries) {
            mSimulation.request(
                    mOrigin,
                    millis -> new StateCommand.RecordOutcome(millis, mClaimant, mKey, outcome),
                    _ -> {});
            if (tries > 1) {
                mSimulation.later(mOrigin, MILLI * 400, () -> report(outcome, tries - 1));
            }
        }
    }
}
