package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.core.bytes.Bytes;
import java.io.ByteArrayOutputStream;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Takes entries and snapshots from the leader. One thread. */
final class Follower {
    private final Replica mReplica;
    private long mMatchTerm;
    private long mMatchIndex;
    private long mReportedIndex;
    private long mStamp;
    private @Nullable Assembly mAssembly;

    Follower(Replica replica) {
        mReplica = replica;
    }

    /** A snapshot whose chunks are being received. */
    private record Assembly(long term, long index, ByteArrayOutputStream data) {}

    /** Takes an append of the present term's leader. */
    void onAppend(MemberId leader, MessageBody.AppendEntriesRequest request, long nowNanos) {
        startContact(leader, request.sentNanos(), nowNanos);
        RaftLog log = mReplica.log();
        long previous = request.previousLogIndex();
        List<LogEntry> entries = request.entries();
        long commit = mReplica.commitIndex();
        if (previous < commit) {
            // The committed prefix equals the leader's; only what follows it has to be compared.
            entries = entries.stream().filter(entry -> entry.index() > commit).toList();
            previous = Math.min(commit, previous + request.entries().size());
        } else if (log.term(previous) != request.previousLogTerm()) {
            refuse(leader, previous);
            return;
        }
        if (mReplica.outbox().unsyncedBytes() > mReplica.settings().maxBacklogBytes()) {
            // The disk lags; the leader finds out by a refused heartbeat and sends these again.
            entries = List.of();
        }
        merge(entries);
        long received = entries.isEmpty() ? previous : entries.getLast().index();
        mMatchIndex = Math.max(mMatchIndex, received);
        mReplica.commitTo(Math.min(request.leaderCommitIndex(), mMatchIndex));
        report(leader);
    }

    /** Takes a snapshot chunk of the present term's leader. */
    void onChunk(MemberId leader, MessageBody.InstallSnapshotRequest chunk, long nowNanos) {
        startContact(leader, chunk.sentNanos(), nowNanos);
        if (chunk.lastIncludedIndex() <= mReplica.commitIndex()) {
            mAssembly = null;
            mMatchIndex = Math.max(mMatchIndex, mReplica.commitIndex());
            report(leader);
            return;
        }
        Assembly assembly = mAssembly;
        if (assembly == null
                || assembly.term() != mReplica.term()
                || assembly.index() != chunk.lastIncludedIndex()) {
            assembly =
                    new Assembly(
                            mReplica.term(),
                            chunk.lastIncludedIndex(),
                            new ByteArrayOutputStream());
            mAssembly = assembly;
        }
        boolean fits = assembly.data().size() == chunk.offset();
        if (fits) {
            assembly.data().writeBytes(chunk.data().toArray());
        }
        if (fits && chunk.done()) {
            mAssembly = null;
            Bytes data = Bytes.copyOf(assembly.data().toByteArray());
            mReplica.install(
                    new SnapshotImage(
                            chunk.lastIncludedIndex(),
                            chunk.lastIncludedTerm(),
                            chunk.membership(),
                            data));
            mMatchIndex = Math.max(mMatchIndex, chunk.lastIncludedIndex());
            report(leader);
            return;
        }
        var answer =
                new MessageBody.InstallSnapshotResponse(
                        chunk.lastIncludedIndex(), assembly.data().size(), chunk.sentNanos());
        mReplica.outbox().sendAfterHardState(mReplica.message(leader, answer));
    }

    /** Tells the leader about newly synced entries. */
    void onSynced() {
        boolean current = mMatchTerm == mReplica.term();
        if (current && reportableIndex() > mReportedIndex) {
            mReplica.leaderId().ifPresent(this::report);
        }
    }

    private void startContact(MemberId leader, long stamp, long nowNanos) {
        if (mMatchTerm != mReplica.term()) {
            mMatchTerm = mReplica.term();
            mMatchIndex = 0;
            mReportedIndex = 0;
            mStamp = stamp;
        }
        mStamp = stamp - mStamp > 0 ? stamp : mStamp;
        mReplica.onLeaderContact(leader, nowNanos);
    }

    /** Appends entries after removing those that conflict with them. */
    private void merge(List<LogEntry> entries) {
        RaftLog log = mReplica.log();
        int known = 0;
        while (known < entries.size()
                && log.term(entries.get(known).index()) == entries.get(known).term()) {
            known++;
        }
        List<LogEntry> added = entries.subList(known, entries.size());
        if (added.isEmpty()) {
            return;
        }
        long first = added.getFirst().index();
        if (first <= mReplica.commitIndex()) {
            throw new IllegalStateException("a leader conflicts with committed entry " + first);
        }
        if (first <= log.lastIndex()) {
            log.truncateFrom(first);
            mReplica.outbox().truncateFrom(first);
        }
        log.append(added);
        added.forEach(mReplica.outbox()::append);
    }

    private long reportableIndex() {
        return Math.min(mMatchIndex, mReplica.durableIndex());
    }

    private void report(MemberId leader) {
        mReportedIndex = reportableIndex();
        var answer =
                new MessageBody.AppendEntriesResponse(
                        true, mReportedIndex, mMatchIndex + 1, 0, mStamp);
        mReplica.outbox().sendAfterHardState(mReplica.message(leader, answer));
    }

    private void refuse(MemberId leader, long previous) {
        RaftLog log = mReplica.log();
        long hint =
                previous > log.lastIndex()
                        ? log.lastIndex() + 1
                        : Math.max(mReplica.commitIndex() + 1, log.firstOfTerm(previous));
        var answer =
                new MessageBody.AppendEntriesResponse(
                        false, reportableIndex(), hint, previous, mStamp);
        mReplica.outbox().sendAfterHardState(mReplica.message(leader, answer));
    }
}
