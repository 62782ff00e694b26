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
     * @param lastIndex last index of the candidate's log
     * @param lastTerm term of that entry
     */
    record PreVoteRequest(long lastIndex, long lastTerm) implements MessageBody {}

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
     * @param lastIndex last index of the candidate's log
     * @param lastTerm term of that entry
     * @param transfer true if the leader asked for this election; sticky voters grant it
     */
    record VoteRequest(long lastIndex, long lastTerm, boolean transfer) implements MessageBody {}

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
     * @param previousIndex index before the first entry
     * @param previousTerm term of the entry there
     * @param entries entries, contiguous
     * @param commitIndex the leader's commit index
     * @param stamp when it was sent
     */
    record AppendRequest(
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            long stamp)
            implements MessageBody {
        /** Copies the list. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an {@link AppendRequest}, or reports later that entries were synced.
     *
     * @param accepted false if the log differs at the previous index
     * @param durableIndex the log equals the leader's up to here and is synced
     * @param nextIndex next index that the follower needs; after a refusal a hint that skips the
     *     conflicting term
     * @param refusedIndex previous index of the refused request, 0 if accepted
     * @param stamp newest stamp received from the leader
     */
    record AppendResponse(
            boolean accepted, long durableIndex, long nextIndex, long refusedIndex, long stamp)
            implements MessageBody {
        @Override
        public boolean isResponse() {
            return true;
        }
    }

    /**
     * Part of a snapshot.
     *
     * @param index index of the snapshot
     * @param snapshotTerm term of the entry at that index
     * @param membership membership as of that index
     * @param offset position of the data in the snapshot
     * @param data part of the snapshot
     * @param last whether this is the end
     * @param stamp when it was sent
     */
    record SnapshotChunk(
            long index,
            long snapshotTerm,
            Membership membership,
            long offset,
            Bytes data,
            boolean last,
            long stamp)
            implements MessageBody {}

    /**
     * Answers a {@link SnapshotChunk}. A complete snapshot is answered by an {@link
     * AppendResponse}.
     *
     * @param index index of the snapshot
     * @param nextOffset position that the follower needs next
     * @param stamp stamp of the chunk
     */
    record SnapshotResponse(long index, long nextOffset, long stamp) implements MessageBody {
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
