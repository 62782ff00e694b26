package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.Failure;
import java.util.Locale;
import java.util.Optional;

/** Why a request to a {@link RaftNode} failed. */
public sealed interface RaftFailure extends Failure {
    /**
     * This replica does not lead. Nothing was appended.
     *
     * @param leader who leads, if it is known
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

    /** Leadership ended before the entry was committed; it may still be committed by others. */
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
     * @param reason why
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
     * @param durableIndex how far it has synced
     * @param requiredIndex how far it has to
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
        /** Too many bytes wait for commit. */
        OVERLOADED("too many bytes wait for commit"),
        /** The payload exceeds the limit. */
        PROPOSAL_TOO_LARGE("the payload exceeds the limit of a log entry"),
        /** The leader's disk is full. */
        DISK_FULL("the leader's disk is full"),
        /** The leader has not yet committed an entry in its term. */
        LEADER_NOT_READY("the leader has not yet committed an entry in its term"),
        /** A membership change is not committed yet. */
        CHANGE_IN_PROGRESS("an earlier membership change is not committed yet"),
        /** Leadership is being handed over. */
        TRANSFER_IN_PROGRESS("leadership is being handed over"),
        /** The transfer did not end in time. */
        TRANSFER_FAILED("the target did not take over in time"),
        /** No such member, or not in the role that the change needs. */
        UNSUITABLE_MEMBER("no member fits the request"),
        /** The name belongs to a member already. */
        ALREADY_MEMBER("an instance of this name is a member already"),
        /** The leader removes itself. */
        LEADER_NOT_REMOVABLE("the leader can't be removed; transfer leadership first"),
        /** Too few voters of the new membership were heard from lately. */
        QUORUM_AT_RISK("the change would leave fewer reachable voters than a quorum"),
        /** The instance has no data folder. */
        VOLATILE_STORE("an instance without a data folder never votes");

        private final String mText;

        Reason(String text) {
            mText = text;
        }

        /** Returns the reason in words. */
        public String text() {
            return mText;
        }
    }
}
