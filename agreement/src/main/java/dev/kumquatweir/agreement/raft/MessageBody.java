package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.List;

/** Content of a {@link RaftMessage}. Stamps are the leader's own time and only compared by it. */
public sealed interface MessageBody {
    /** Returns whether this is an answer, which counts only from a member. */
    default boolean isResponse() {
        return false;
    }

    /**
     * Asks whether a vote in the next term would be granted.
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
     * Asks for a vote in the message's term.
     *
     * @param lastLogIndex last index of the candidate's log
     * @param lastLogTerm term of that entry
     * @param leadershipTransfer true if the leader asked for this election; sticky voters grant it
     */
    record VoteRequest(long lastLogIndex, long lastLogTerm, boolean leadershipTransfer)
            implements MessageBody {}

    /**
     * Answers a {@link VoteRequest}.
     *
     * @param granted whether the vote was given, and synced
     */
    record VoteResponse(boolean granted) implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /**
     * Appends entries; without entries a heartbeat.
     *
     * @param previousLogIndex index before the first entry
     * @param previousLogTerm term of the entry there
     * @param entries entries, contiguous
     * @param leaderCommitIndex the leader's commit index
     * @param sentNanos when it was sent
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
     * @param durableIndex the log equals the leader's up to here and is synced
     * @param nextIndex next index that the follower needs; after a refusal a hint that skips the
     *     conflicting term
     * @param rejectedIndex previous index of the refused request, 0 if accepted
     * @param sentNanos newest stamp received from the leader
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
     * Part of a snapshot.
     *
     * @param lastIncludedIndex index of the snapshot
     * @param lastIncludedTerm term of the entry at that index
     * @param membership membership as of that index
     * @param offset position of the data in the snapshot
     * @param data part of the snapshot
     * @param done whether this is the end
     * @param sentNanos when it was sent
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
     * Answers a {@link InstallSnapshotRequest}. A complete snapshot is answered by an {@link
     * AppendEntriesResponse}.
     *
     * @param lastIncludedIndex index of the snapshot
     * @param nextOffset position that the follower needs next
     * @param sentNanos stamp of the chunk
     */
    record InstallSnapshotResponse(long lastIncludedIndex, long nextOffset, long echoedSentNanos)
            implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /**
     * Answers a leader or candidate of an earlier term; only its term counts. It carries no stamp:
     * the receiver may lead the sender's term by now, and the time of the earlier message means
     * nothing then.
     */
    record StaleTerm() implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /** The leader asks the receiver to start an election at once. */
    record TimeoutNow() implements MessageBody {}
}
