package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.raft.RaftFailure;
import dev.kumquatweir.core.failure.Failure;

/** Reason why a request to the replicated control state failed. */
public sealed interface ControlFailure extends Failure {
    /**
     * The contacted instance is not the leader. The state was not changed.
     *
     * @param leader name of the leader known to that instance, empty if it knows none
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
     * The request was refused before it changed the state.
     *
     * @param reason machine-readable code of the reason
     * @param explanation human-readable explanation
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

    /** The command was accepted but its result was lost. It is safe to send the command again. */
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

    /** No leader answered in time. It is unknown whether a command was accepted. */
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
     * A peer sent content that can't be decoded or is not a valid reply.
     *
     * @param problem description of the defect
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
     * Converts a Raft failure to a control failure.
     *
     * @param knownLeader name of the leader known to the replica, empty if it knows none
     */
    static ControlFailure of(RaftFailure failure, String knownLeader) {
        return switch (failure) {
            case RaftFailure.NotLeader notLeader ->
                    new NotLeader(notLeader.leader().map(MemberId::name).orElse(knownLeader));
            case RaftFailure.OutcomeUncertain _ -> new OutcomeUncertain();
            case RaftFailure.Refused refused when isLeadershipChanging(refused.reason()) ->
                    new NotLeader("");
            default -> new Refused(failure.code(), failure.message());
        };
    }

    /**
     * Returns whether leadership is about to change. The client is told to retry in this case,
     * since it finds the next leader well within its timeout.
     */
    private static boolean isLeadershipChanging(RaftFailure.Reason reason) {
        return reason == RaftFailure.Reason.TRANSFER_IN_PROGRESS
                || reason == RaftFailure.Reason.LEADER_NOT_READY;
    }
}
