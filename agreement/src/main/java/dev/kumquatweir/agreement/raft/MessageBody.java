package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.List;

/**
 * Content of a {@link RaftMessage}. Send times come from the leader's clock; followers echo them,
 * and only the leader compares them with its clock.
 */
public sealed interface MessageBody {
    /** Returns whether this is a response; responses are accepted only from members. */
    default boolean isResponse() {
        return false;
    }

    /**
     * Asks whether the receiver would grant a vote in the next term.
     *
     * @param lastLogIndex last index of the candidate's log
     * @param lastLogTerm term of that entry
     */
    record PreVoteRequest(long lastLogIndex, long lastLogTerm) implements MessageBody {}

    /**
     * Answers a {@link PreVoteRequest}.
     *
     * @param granted whether a vote would be granted
     */
    record PreVoteResponse(boolean granted) implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /**
     * Requests a vote in the term of the message.
     *
     * @param lastLogIndex last index of the candidate's log
     * @param lastLogTerm term of that entry
     * @param leadershipTransfer true if this election is a leadership transfer; voters then ignore
     *     recent leader contact
     */
    record VoteRequest(long lastLogIndex, long lastLogTerm, boolean leadershipTransfer)
            implements MessageBody {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param granted whether the vote was granted, and synced
     */
    record VoteResponse(boolean granted) implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /**
     * Replicates log entries; a heartbeat if it has no entries.
     *
     * @param previousLogIndex index before the first entry
     * @param previousLogTerm term of the entry there
     * @param entries contiguous entries
     * @param leaderCommitIndex the leader's commit index
     * @param sentNanos unique send time on the leader's clock
     */
    record AppendEntriesRequest(
            long previousLogIndex,
            long previousLogTerm,
            List<LogEntry> entries,
            long leaderCommitIndex,
            long sentNanos)
            implements MessageBody {
        /** Copies the list. */
        public AppendEntriesRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an {@link AppendEntriesRequest}, or reports later that entries were synced.
     *
     * @param accepted false if the log differs at the previous index
     * @param durableIndex last index up to which the log matches the leader's and is synced
     * @param nextIndex next index that the follower needs; after a rejection a hint that skips the
     *     conflicting term
     * @param rejectedIndex previous index of the rejected request, 0 if accepted
     * @param echoedSentNanos newest send time received from the leader
     */
    record AppendEntriesResponse(
            boolean accepted,
            long durableIndex,
            long nextIndex,
            long rejectedIndex,
            long echoedSentNanos)
            implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /**
     * One chunk of a snapshot.
     *
     * @param lastIncludedIndex index of the snapshot
     * @param lastIncludedTerm term of the entry at that index
     * @param membership membership as of that index
     * @param offset byte offset of the data in the snapshot
     * @param data bytes of this chunk
     * @param done whether this is the last chunk
     * @param sentNanos unique send time on the leader's clock
     */
    record InstallSnapshotRequest(
            long lastIncludedIndex,
            long lastIncludedTerm,
            Membership membership,
            long offset,
            Bytes data,
            boolean done,
            long sentNanos)
            implements MessageBody {}

    /**
     * Answers an {@link InstallSnapshotRequest}. A complete snapshot is answered by an {@link
     * AppendEntriesResponse}.
     *
     * @param lastIncludedIndex index of the snapshot
     * @param nextOffset byte offset that the follower needs next
     * @param echoedSentNanos send time of the chunk
     */
    record InstallSnapshotResponse(long lastIncludedIndex, long nextOffset, long echoedSentNanos)
            implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /**
     * Answers a leader or candidate of an earlier term; only its term is used. It echoes no send
     * time: the receiver may by now lead the sender's term, where the send time of the earlier
     * message would be invalid.
     */
    record StaleTerm() implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /** Makes the receiver start an election immediately, to transfer leadership to it. */
    record TimeoutNow() implements MessageBody {}
}
