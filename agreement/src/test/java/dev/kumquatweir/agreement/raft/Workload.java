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

/**
 * Random clients that compete for configuration changes (compare-and-set) and claims, with retries,
 * abandoned requests and reads.
 */
final class Workload {
    private static final long NANOS_PER_MILLI = Simulation.NANOS_PER_MILLI;
    private static final long EXECUTION_DEADLINE_NANOS = 1_000 * NANOS_PER_MILLI;

    private final Simulation mSimulation;
    private final RandomGenerator mRandom;
    private final Map<CommandId, StateResult> mCommandResults = new HashMap<>();
    private int mRequestNumber;
    private int mAcceptedChanges;
    private int mExecutedRequests;

    Workload(Simulation simulation) {
        mSimulation = simulation;
        mRandom = simulation.random();
        mSimulation.schedule(NANOS_PER_MILLI * 700, this::runNextOperation);
    }

    int acceptedChanges() {
        return mAcceptedChanges;
    }

    int executedRequests() {
        return mExecutedRequests;
    }

    private void runNextOperation() {
        List<SimulatedInstance> all = List.copyOf(mSimulation.instances());
        SimulatedInstance origin = all.get(mRandom.nextInt(all.size()));
        if (origin.isUp() && !origin.isFrozen()) {
            switch (mRandom.nextInt(8)) {
                case 0, 1 -> changeConfiguration(origin);
                case 2, 3, 4, 5 ->
                        origin.incarnation().ifPresent(incarnation -> claim(origin, incarnation));
                case 6 -> origin.read();
                default -> mSimulation.proposeAtLeader(origin, StateCommand.Expire::new, _ -> {});
            }
        }
        mSimulation.schedule(NANOS_PER_MILLI * (5 + mRandom.nextLong(60)), this::runNextOperation);
    }

    private void changeConfiguration(SimulatedInstance origin) {
        var command = new CommandId("command-" + mRandom.nextInt(200));
        long base = origin.stateMachine().configurationVersion();
        Bytes document = Bytes.ofText(command + " from " + base);
        mSimulation.proposeAtLeader(
                origin,
                millis ->
                        new StateCommand.ApplyConfiguration(
                                millis, command, origin.name(), base, document),
                result ->
                        result.ifPresent(
                                stateResult -> onConfigurationResult(command, stateResult)));
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
            mAcceptedChanges++;
        }
    }

    private void claim(SimulatedInstance origin, long incarnation) {
        mRequestNumber++;
        var claimant =
                new Claimant(
                        new RequestId("request-" + mRequestNumber),
                        new InstanceId(origin.name()),
                        incarnation);
        var key =
                new ClaimKey(
                        new TeamName("team"), new IdempotencyKey("key-" + mRandom.nextInt(40)));
        String hash = mRandom.nextInt(10) == 0 ? "other" : "hash";
        new ClaimAttempt(origin, claimant, key, hash).start();
    }

    /** One non-idempotent request and its claim at one instance. */
    private final class ClaimAttempt {
        private final SimulatedInstance mOrigin;
        private final Claimant mClaimant;
        private final ClaimKey mKey;
        private final String mHash;
        private final long mStartNanos;
        private boolean mDecided;

        ClaimAttempt(SimulatedInstance origin, Claimant claimant, ClaimKey key, String hash) {
            mOrigin = origin;
            mClaimant = claimant;
            mKey = key;
            mHash = hash;
            mStartNanos = origin.localNanos();
        }

        void start() {
            sendClaim();
            if (mRandom.nextInt(3) == 0) {
                // A retry, as after a lost response.
                mSimulation.scheduleOn(
                        mOrigin, NANOS_PER_MILLI * mRandom.nextLong(900), this::sendClaim);
            }
            mSimulation.scheduleOn(mOrigin, EXECUTION_DEADLINE_NANOS, this::abandon);
        }

        private void sendClaim() {
            long limitMillis = 200 + mRandom.nextLong(4_000);
            mSimulation.proposeAtLeader(
                    mOrigin,
                    millis -> new StateCommand.Claim(millis, mClaimant, mKey, mHash, limitMillis),
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
            boolean inTime = mOrigin.localNanos() - mStartNanos < EXECUTION_DEADLINE_NANOS;
            if (!inTime || mRandom.nextInt(4) == 0) {
                report(new ClaimOutcome.NotExecuted(), 5);
                return;
            }
            mSimulation.checker().onExecuted(mKey, mClaimant);
            mExecutedRequests++;
            Bytes body = Bytes.ofText("answer for " + mClaimant.requestId());
            ClaimOutcome outcome =
                    mRandom.nextInt(5) == 0
                            ? new ClaimOutcome.Unknown()
                            : new ClaimOutcome.Finished(
                                    new RecordedResponse(200, "text/plain", body, true));
            long delay = NANOS_PER_MILLI * mRandom.nextLong(1_500);
            mSimulation.scheduleOn(mOrigin, delay, () -> report(outcome, 5));
        }

        private void abandon() {
            if (!mDecided) {
                mDecided = true;
                report(new ClaimOutcome.NotExecuted(), 5);
            }
        }

        private void report(ClaimOutcome outcome, int remainingSends) {
            mSimulation.proposeAtLeader(
                    mOrigin,
                    millis -> new StateCommand.RecordOutcome(millis, mClaimant, mKey, outcome),
                    _ -> {});
            if (remainingSends > 1) {
                mSimulation.scheduleOn(
                        mOrigin, NANOS_PER_MILLI * 400, () -> report(outcome, remainingSends - 1));
            }
        }
    }
}
