package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.core.bytes.Bytes;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Follower side of log replication: checks the leader's appends against the log, assembles snapshot
 * chunks and acknowledges what is synced. The log belongs to {@link Replica}. Called only by the
 * thread that steps the {@link RaftNode}.
 */
final class Follower {
    private final Replica mReplica;
    private long mMatchTerm;
    private long mMatchIndex;
    private long mAcknowledgedIndex;
    private long mNewestSentNanos;
    private long mLeaderCommitIndex;
    private @Nullable IncomingSnapshot mIncomingSnapshot;

    Follower(Replica replica) {
        mReplica = replica;
    }

    /** A partly received snapshot and the term of the leader that sends it. */
    private record IncomingSnapshot(long term, long index, ByteArrayOutputStream data) {}

    /** Returns the highest commit index that a leader has told since this replica started. */
    long leaderCommitIndex() {
        return mLeaderCommitIndex;
    }

    /** Handles AppendEntries from the leader of the current term. */
    void onAppendEntries(MemberId leader, MessageBody.AppendEntriesRequest request, long nowNanos) {
        recordLeaderContact(leader, request.sentNanos(), nowNanos);
        mLeaderCommitIndex = Math.max(mLeaderCommitIndex, request.leaderCommitIndex());
        RaftLog log = mReplica.log();
        long previousIndex = request.previousLogIndex();
        List<LogEntry> entries = request.entries();
        long commitIndex = mReplica.commitIndex();
        if (previousIndex < commitIndex) {
            // Committed entries equal the leader's, so only later entries are compared.
            entries = entries.stream().filter(entry -> entry.index() > commitIndex).toList();
            previousIndex = Math.min(commitIndex, previousIndex + request.entries().size());
        } else if (log.term(previousIndex) != request.previousLogTerm()) {
            sendRejection(leader, previousIndex);
            return;
        }
        if (mReplica.outbox().unsyncedBytes() > mReplica.settings().maxBacklogBytes()) {
            // Backpressure for a slow disk: the leader learns of the missing entries when a later
            // heartbeat is rejected, and sends them again.
            entries = List.of();
        }
        appendEntries(entries);
        long lastMatchingIndex = entries.isEmpty() ? previousIndex : entries.getLast().index();
        mMatchIndex = Math.max(mMatchIndex, lastMatchingIndex);
        mReplica.commitTo(Math.min(request.leaderCommitIndex(), mMatchIndex));
        sendAcceptance(leader);
    }

    /** Handles a snapshot chunk from the leader of the current term. */
    void onInstallSnapshot(
            MemberId leader, MessageBody.InstallSnapshotRequest chunk, long nowNanos) {
        recordLeaderContact(leader, chunk.sentNanos(), nowNanos);
        if (chunk.lastIncludedIndex() <= mReplica.commitIndex()) {
            mIncomingSnapshot = null;
            mMatchIndex = Math.max(mMatchIndex, mReplica.commitIndex());
            sendAcceptance(leader);
            return;
        }
        if (mReplica.outbox().hasUnsyncedSnapshot()) {
            // Snapshots would accumulate while the disk is full. The leader sends the chunk again.
            sendAcceptance(leader);
            return;
        }
        IncomingSnapshot incoming = mIncomingSnapshot;
        if (incoming == null
                || incoming.term() != mReplica.term()
                || incoming.index() != chunk.lastIncludedIndex()) {
            incoming =
                    new IncomingSnapshot(
                            mReplica.term(),
                            chunk.lastIncludedIndex(),
                            new ByteArrayOutputStream());
            mIncomingSnapshot = incoming;
        }
        boolean contiguous = incoming.data().size() == chunk.offset();
        if (contiguous) {
            incoming.data().writeBytes(chunk.data().toArray());
        }
        if (contiguous && chunk.done()) {
            mIncomingSnapshot = null;
            Bytes data = Bytes.copyOf(incoming.data().toByteArray());
            mReplica.installSnapshot(
                    new SnapshotImage(
                            chunk.lastIncludedIndex(),
                            chunk.lastIncludedTerm(),
                            chunk.membership(),
                            data));
            mMatchIndex = Math.max(mMatchIndex, chunk.lastIncludedIndex());
            sendAcceptance(leader);
            return;
        }
        var response =
                new MessageBody.InstallSnapshotResponse(
                        chunk.lastIncludedIndex(), incoming.data().size(), chunk.sentNanos());
        mReplica.outbox().sendAfterHardState(mReplica.message(leader, response));
    }

    /** Acknowledges newly synced entries to the leader. */
    void onStorageSynced() {
        boolean matchesCurrentTerm = mMatchTerm == mReplica.term();
        if (matchesCurrentTerm && durableMatchIndex() > mAcknowledgedIndex) {
            mReplica.leaderId().ifPresent(this::sendAcceptance);
        }
    }

    private void recordLeaderContact(MemberId leader, long sentNanos, long nowNanos) {
        if (mMatchTerm != mReplica.term()) {
            mMatchTerm = mReplica.term();
            mMatchIndex = 0;
            mAcknowledgedIndex = 0;
            mNewestSentNanos = sentNanos;
        }
        mNewestSentNanos = sentNanos - mNewestSentNanos > 0 ? sentNanos : mNewestSentNanos;
        mReplica.onLeaderContact(leader, nowNanos);
    }

    /** Appends entries that are missing here, after truncating any conflicting suffix. */
    private void appendEntries(List<LogEntry> entries) {
        RaftLog log = mReplica.log();
        int matching = 0;
        while (matching < entries.size()
                && log.term(entries.get(matching).index()) == entries.get(matching).term()) {
            matching++;
        }
        List<LogEntry> newEntries = entries.subList(matching, entries.size());
        if (newEntries.isEmpty()) {
            return;
        }
        long firstIndex = newEntries.getFirst().index();
        if (firstIndex <= mReplica.commitIndex()) {
            throw new IllegalStateException(
                    "append from the leader conflicts with committed entry " + firstIndex);
        }
        if (firstIndex <= log.lastIndex()) {
            log.truncateFrom(firstIndex);
            mReplica.outbox().truncateFrom(firstIndex);
        }
        log.append(newEntries);
        newEntries.forEach(mReplica.outbox()::append);
    }

    private long durableMatchIndex() {
        return Math.min(mMatchIndex, mReplica.durableIndex());
    }

    private void sendAcceptance(MemberId leader) {
        mAcknowledgedIndex = durableMatchIndex();
        var response =
                new MessageBody.AppendEntriesResponse(
                        true, mAcknowledgedIndex, mMatchIndex + 1, 0, mNewestSentNanos);
        mReplica.outbox().sendAfterHardState(mReplica.message(leader, response));
    }

    private void sendRejection(MemberId leader, long previousIndex) {
        RaftLog log = mReplica.log();
        long nextIndexHint =
                previousIndex > log.lastIndex()
                        ? log.lastIndex() + 1
                        : Math.max(mReplica.commitIndex() + 1, log.firstIndexOfTerm(previousIndex));
        var response =
                new MessageBody.AppendEntriesResponse(
                        false, durableMatchIndex(), nextIndexHint, previousIndex, mNewestSentNanos);
        mReplica.outbox().sendAfterHardState(mReplica.message(leader, response));
    }
}
