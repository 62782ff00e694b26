package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.raft.RaftFailure;
import dev.kumquatweir.core.failure.Failure;

/** Why the agreed state could not be asked or changed. */
public sealed interface ControlFailure extends Failure {
    /**
     * The instance that was asked does not lead. Nothing was changed.
     *
     * @param leader the leader it knows, empty if it knows none
     */
    record NotLeader(String leader) implements ControlFailure {
        @Override
        public String code() {
            return "not_leader";
        }

        @Override
        public String message() {
            return leader.isEmpty() ? "no leader is known" : "the leader is " + leader;
        }
    }

    /**
     * Refused before anything was changed.
     *
     * @param reason code of the reason
     * @param explanation the reason in words
     */
    record Refused(String reason, String explanation) implements ControlFailure {
        @Override
        public String code() {
            return reason;
        }

        @Override
        public String message() {
            return explanation;
        }
    }

    /** The command was taken, but its result was lost; sending it again is safe. */
    record OutcomeUncertain() implements ControlFailure {
        @Override
        public String code() {
            return "outcome_uncertain";
        }

        @Override
        public String message() {
            return "leadership changed before the result was known; send the command again";
        }
    }

    /** No leader answered in time. Whether a command was taken is not known. */
    record LeaderUnreachable() implements ControlFailure {
        @Override
        public String code() {
            return "no_quorum";
        }

        @Override
        public String message() {
            return "no leader with a quorum answered in time";
        }
    }

    /**
     * A peer sent what can't be understood.
     *
     * @param problem what is wrong
     */
    record Malformed(String problem) implements ControlFailure {
        @Override
        public String code() {
            return "malformed_content";
        }

        @Override
        public String message() {
            return problem;
        }
    }

    /**
     * Translates a failure of the agreement core.
     *
     * @param knownLeader name of the leader as far as the replica knows it, else empty
     */
    static ControlFailure of(RaftFailure failure, String knownLeader) {
        return switch (failure) {
            case RaftFailure.NotLeader none ->
                    new NotLeader(none.leader().map(MemberId::name).orElse(knownLeader));
            case RaftFailure.OutcomeUncertain _ -> new OutcomeUncertain();
            case RaftFailure.Refused refused when betweenLeaders(refused.reason()) ->
                    new NotLeader("");
            default -> new Refused(failure.code(), failure.message());
        };
    }

    /** The asker finds the next leader well within its time limit, so it is told to go on. */
    private static boolean betweenLeaders(RaftFailure.Reason reason) {
        return reason == RaftFailure.Reason.TRANSFER_IN_PROGRESS
                || reason == RaftFailure.Reason.LEADER_NOT_READY;
    }
}
