package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.Failure;
import java.util.Locale;
import java.util.Optional;

/** Why a request to a {@link RaftNode} failed. */
public sealed interface RaftFailure extends Failure {
    /**
     * This replica is not the leader. Nothing was appended.
     *
     * @param leader the current leader, if known
     */
    record NotLeader(Optional<MemberId> leader) implements RaftFailure {
        @Override
        public String code() {
            return "not_leader";
        }

        @Override
        public String message() {
            return leader.map(id -> "the leader is " + id).orElse("no leader is known");
        }
    }

    /** Leadership ended before the entry was committed; a later leader may still commit it. */
    record OutcomeUncertain() implements RaftFailure {
        @Override
        public String code() {
            return "outcome_uncertain";
        }

        @Override
        public String message() {
            return "leadership ended before the entry was committed; it may yet be committed";
        }

        @Override
        public Executed executed() {
            return Executed.UNKNOWN;
        }
    }

    /**
     * The request was refused before anything was appended.
     *
     * @param reason reason for the refusal
     */
    record Refused(Reason reason) implements RaftFailure {
        @Override
        public String code() {
            return reason.name().toLowerCase(Locale.ROOT);
        }

        @Override
        public String message() {
            return reason.text();
        }
    }

    /**
     * A learner can't be promoted yet.
     *
     * @param member the learner
     * @param durableIndex last index that it has synced
     * @param requiredIndex index that it has to sync first
     */
    record NotCaughtUp(MemberId member, long durableIndex, long requiredIndex)
            implements RaftFailure {
        @Override
        public String code() {
            return "not_caught_up";
        }

        @Override
        public String message() {
            return member + " has synced up to " + durableIndex + ", needed is " + requiredIndex;
        }
    }

    /** Reasons for {@link Refused}. */
    enum Reason {
        /** Too many uncommitted bytes. */
        OVERLOADED("too many bytes wait for commit"),
        /** The payload exceeds the limit. */
        PROPOSAL_TOO_LARGE("the payload exceeds the limit of a log entry"),
        /** The leader's disk is full. */
        DISK_FULL("the leader's disk is full"),
        /** The leader has not yet committed an entry in its term. */
        LEADER_NOT_READY("the leader has not yet committed an entry in its term"),
        /** A membership change is not committed yet. */
        CHANGE_IN_PROGRESS("an earlier membership change is not committed yet"),
        /** A leadership transfer is in progress. */
        TRANSFER_IN_PROGRESS("leadership is being handed over"),
        /** The target did not become leader before the deadline. */
        TRANSFER_FAILED("the target did not take over in time"),
        /** No such member, or not in the role that the change needs. */
        UNSUITABLE_MEMBER("no member fits the request"),
        /** A member of this name already exists. */
        ALREADY_MEMBER("an instance of this name is a member already"),
        /** The change would remove the leader itself. */
        LEADER_NOT_REMOVABLE("the leader can't be removed; transfer leadership first"),
        /** Fewer voters of the new membership than a quorum have acknowledged messages recently. */
        QUORUM_AT_RISK("the change would leave fewer reachable voters than a quorum"),
        /** The instance has no data folder. */
        VOLATILE_STORE("an instance without a data folder never votes");

        private final String mText;

        Reason(String text) {
            mText = text;
        }

        /** Returns a description for error messages. */
        public String text() {
            return mText;
        }
    }
}
