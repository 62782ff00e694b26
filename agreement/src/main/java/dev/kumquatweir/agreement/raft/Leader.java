package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.core.bytes.Bytes;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Leader side of the protocol for one term: replication, commit, heartbeats, check-quorum and the
 * leader lease. Created when an election is won and discarded when leadership ends. Called only by
 * the thread that steps the {@link RaftNode}.
 */
final class Leader {
    /** Heartbeat intervals after which an unacknowledged snapshot chunk is sent again. */
    private static final int CHUNK_RETRY_HEARTBEATS = 3;

    private final Replica mReplica;
    private final RaftSettings mSettings;
    private final RaftLog mLog;
    private final SortedMap<MemberId, Progress> mPeers = new TreeMap<>();
    private final LeaderRequests mRequests;
    private final long mTerm;
    private long mTermStartIndex;
    private long mLastSentNanos;

    Leader(Replica replica, long nowNanos) {
        mReplica = replica;
        mSettings = replica.settings();
        mLog = replica.log();
        mTerm = replica.term();
        mLastSentNanos = nowNanos;
        mRequests = new LeaderRequests(replica, this);
    }

    // Life-cycle

    void start(long nowNanos) {
        mTermStartIndex = append(EntryKind.NO_OPERATION, Bytes.EMPTY, nowNanos);
        advanceCommit(nowNanos);
    }

    /** Fails all pending requests when the replica has become a follower. */
    void failPendingRequests() {
        mRequests.failAll();
    }

    void tick(long nowNanos) {
        boolean quorumLost =
                quorumAgeNanos(progress -> progress.contactAgeNanos(nowNanos))
                        > quorumTimeoutNanos();
        if (quorumLost && mSettings.isEnabled(RaftRule.CHECK_QUORUM)) {
            mReplica.becomeFollower(mTerm, nowNanos);
            return;
        }
        if (!mRequests.tick(nowNanos)) {
            return;
        }
        mPeers.forEach(
                (peer, progress) -> {
                    if (progress.isHeartbeatDue(nowNanos)) {
                        sendHeartbeat(peer, progress, nowNanos);
                    }
                });
    }

    // Package API

    LeaderRequests requests() {
        return mRequests;
    }

    long term() {
        return mTerm;
    }

    boolean hasCommittedInTerm() {
        return mReplica.commitIndex() >= mTermStartIndex;
    }

    /** Returns the remaining time of the leader lease in nanoseconds, 0 if there is none. */
    long leaseNanos(long nowNanos) {
        boolean transferring =
                mRequests.isTimeoutNowSent() && mSettings.isEnabled(RaftRule.NO_LEASE_IN_TRANSFER);
        if (!hasCommittedInTerm() || transferring) {
            return 0;
        }
        long ageNanos = quorumAcknowledgedAgeNanos(nowNanos);
        return Math.max(0, mSettings.leaderLeaseNanos() - ageNanos);
    }

    /** Returns the time since the send of the newest message that a quorum has acknowledged. */
    long quorumAcknowledgedAgeNanos(long nowNanos) {
        return quorumAgeNanos(progress -> progress.acknowledgedAgeNanos(nowNanos));
    }

    boolean hasRecentQuorumContact(long nowNanos) {
        return quorumAgeNanos(progress -> progress.contactAgeNanos(nowNanos))
                < mSettings.minElectionTimeoutNanos();
    }

    /**
     * Returns whether a quorum of a planned membership has acknowledged messages sent within the
     * minimum election timeout.
     */
    boolean isQuorumReachable(Membership planned, long nowNanos) {
        long reachable =
                planned.voters().stream().filter(voter -> isReachable(voter, nowNanos)).count();
        return reachable >= planned.quorum();
    }

    /**
     * Returns the first log index that a member in contact needs and the log still has, {@link
     * Long#MAX_VALUE} if there is none.
     */
    long neededIndex(long nowNanos) {
        return mPeers.values().stream()
                .filter(peer -> peer.contactAgeNanos(nowNanos) < mReplica.silenceLimitNanos())
                .mapToLong(Progress::neededIndex)
                .filter(index -> index > mLog.baseIndex())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    @Nullable Progress progress(MemberId member) {
        return mPeers.get(member);
    }

    /** Returns a send time for a message, strictly greater than all earlier ones. */
    long nextSentNanos(long nowNanos) {
        mLastSentNanos = Math.max(mLastSentNanos + 1, nowNanos);
        return mLastSentNanos;
    }

    /** Appends an entry, replicates it to the peers and returns its index. */
    long append(EntryKind kind, Bytes payload, long nowNanos) {
        var entry = new LogEntry(mLog.lastIndex() + 1, mTerm, payload, kind);
        mLog.append(entry);
        mReplica.outbox().append(entry);
        updatePeers(nowNanos);
        mPeers.forEach((peer, progress) -> replicate(peer, progress, nowNanos));
        return entry.index();
    }

    /** Sends a heartbeat to each voter to confirm leadership for pending reads. */
    void sendHeartbeatsToVoters(long nowNanos) {
        mPeers.forEach(
                (peer, progress) -> {
                    if (mLog.membership().isVoter(peer)) {
                        sendHeartbeat(peer, progress, nowNanos);
                    }
                });
    }

    void onAppendResponse(
            MemberId peer, MessageBody.AppendEntriesResponse response, long nowNanos) {
        Progress progress = mPeers.get(peer);
        if (progress == null) {
            return;
        }
        progress.onResponse(response.echoedSentNanos());
        if (!response.accepted()) {
            progress.onRejected(response.rejectedIndex(), response.nextIndex(), peer.isVolatile());
        } else if (progress.onAccepted(response.durableIndex(), response.nextIndex())) {
            advanceCommit(nowNanos);
        }
        mRequests.onAcknowledged(nowNanos);
        replicate(peer, progress, nowNanos);
    }

    void onSnapshotResponse(
            MemberId peer, MessageBody.InstallSnapshotResponse response, long nowNanos) {
        Progress progress = mPeers.get(peer);
        if (progress == null) {
            return;
        }
        progress.onResponse(response.echoedSentNanos());
        if (progress.onChunkAcknowledged(
                response.lastIncludedIndex(), response.nextOffset(), response.echoedSentNanos())) {
            sendSnapshotChunk(peer, progress, nowNanos);
        }
        mRequests.onAcknowledged(nowNanos);
    }

    /**
     * Advances the commit index to the highest index that enough voters have synced. Entries of
     * earlier terms are committed only together with an entry of the current term.
     */
    void advanceCommit(long nowNanos) {
        Membership membership = mLog.membership();
        List<Long> durableIndexes =
                membership.voters().stream()
                        .map(this::durableIndex)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        int copies = Math.min(mSettings.durableCopies(), durableIndexes.size());
        long index = durableIndexes.get(Math.max(membership.quorum(), copies) - 1);
        boolean committable =
                mLog.term(index) == mTerm || !mSettings.isEnabled(RaftRule.COMMIT_IN_OWN_TERM);
        if (index > mReplica.commitIndex() && committable) {
            mReplica.commitTo(index);
            mRequests.onAcknowledged(nowNanos);
            mPeers.forEach((peer, progress) -> replicate(peer, progress, nowNanos));
        }
    }

    // Helpers

    private long quorumTimeoutNanos() {
        return mSettings.maxElectionTimeoutNanos();
    }

    private boolean isReachable(MemberId voter, long nowNanos) {
        if (voter.equals(mReplica.self())) {
            return true;
        }
        Progress progress = mPeers.get(voter);
        return progress != null
                && progress.acknowledgedAgeNanos(nowNanos) < mSettings.minElectionTimeoutNanos();
    }

    private long durableIndex(MemberId voter) {
        if (voter.equals(mReplica.self())) {
            return mReplica.durableIndex();
        }
        Progress progress = mPeers.get(voter);
        return progress == null ? 0 : progress.matchIndex();
    }

    /** Returns the highest age in the quorum of voters with the lowest ages, this one included. */
    private long quorumAgeNanos(Function<Progress, Long> ageNanos) {
        Membership membership = mLog.membership();
        List<Long> agesNanos =
                membership.voters().stream()
                        .map(voter -> ageNanosOf(voter, ageNanos))
                        .sorted()
                        .toList();
        return agesNanos.get(membership.quorum() - 1);
    }

    private long ageNanosOf(MemberId voter, Function<Progress, Long> ageNanos) {
        if (voter.equals(mReplica.self())) {
            return 0;
        }
        Progress progress = mPeers.get(voter);
        return progress == null ? Progress.NEVER_ACKNOWLEDGED_AGE_NANOS : ageNanos.apply(progress);
    }

    private void updatePeers(long nowNanos) {
        List<MemberId> members =
                mLog.membership().members().stream()
                        .map(Member::id)
                        .filter(member -> !member.equals(mReplica.self()))
                        .toList();
        mPeers.keySet().retainAll(members);
        // Assumes that the log of a new peer matches; a rejection switches to probing.
        members.forEach(
                member ->
                        mPeers.computeIfAbsent(
                                member, id -> new Progress(mLog.lastIndex(), nowNanos)));
    }

    private void sendHeartbeat(MemberId peer, Progress progress, long nowNanos) {
        boolean voter = mLog.membership().isVoter(peer);
        long intervalNanos =
                voter
                        ? mSettings.heartbeatIntervalNanos()
                        : mSettings.learnerHeartbeatIntervalNanos();
        progress.scheduleHeartbeat(nowNanos + intervalNanos);
        if (progress.mode() == Progress.Mode.SNAPSHOT) {
            long retryNanos = CHUNK_RETRY_HEARTBEATS * mSettings.heartbeatIntervalNanos();
            if (progress.chunkAgeNanos(nowNanos) >= retryNanos) {
                sendSnapshotChunk(peer, progress, nowNanos);
            }
            return;
        }
        replicate(peer, progress, nowNanos);
        if (progress.mode() == Progress.Mode.REPLICATE) {
            sendAppend(peer, progress, List.of(), nowNanos);
        }
    }

    private void replicate(MemberId peer, Progress progress, long nowNanos) {
        if (progress.mode() == Progress.Mode.SNAPSHOT) {
            return;
        }
        SnapshotImage snapshot = mLog.snapshot();
        if (progress.nextIndex() <= mLog.baseIndex() && snapshot != null) {
            progress.startSnapshot(snapshot);
            sendSnapshotChunk(peer, progress, nowNanos);
            return;
        }
        if (progress.canProbe()) {
            progress.onProbeSent();
            sendAppend(peer, progress, List.of(), nowNanos);
        }
        long lastIndex = lastSendableIndex(peer);
        while (progress.canSendBatch(mSettings.maxInflightBatches(), mSettings.maxInflightBytes())
                && progress.nextIndex() <= lastIndex) {
            long maxEntries =
                    Math.min(mSettings.maxBatchEntries(), lastIndex - progress.nextIndex() + 1);
            List<LogEntry> entries =
                    mLog.slice(progress.nextIndex(), (int) maxEntries, mSettings.maxBatchBytes());
            sendAppend(peer, progress, entries, nowNanos);
            progress.onBatchSent(entries);
        }
    }

    /**
     * Learners receive committed entries only. Otherwise a learner that an uncommitted membership
     * makes a voter could hold entries that were never committed. It would deny its vote to voters
     * without them and could not be elected itself, so that the group has no leader once the old
     * leader's disk is lost.
     */
    private long lastSendableIndex(MemberId peer) {
        return mLog.membership().isVoter(peer) ? mLog.lastIndex() : mReplica.commitIndex();
    }

    private void sendAppend(
            MemberId peer, Progress progress, List<LogEntry> entries, long nowNanos) {
        long previousIndex = progress.nextIndex() - 1;
        var request =
                new MessageBody.AppendEntriesRequest(
                        previousIndex,
                        mLog.term(previousIndex),
                        entries,
                        mReplica.commitIndex(),
                        nextSentNanos(nowNanos));
        mReplica.outbox().send(mReplica.message(peer, request));
    }

    private void sendSnapshotChunk(MemberId peer, Progress progress, long nowNanos) {
        SnapshotImage newest = mLog.snapshot();
        if (newest != null && progress.isSnapshotOutdated(mLog.baseIndex())) {
            progress.startSnapshot(newest);
        }
        SnapshotImage image = progress.snapshot();
        if (image == null) {
            return;
        }
        long offset = progress.snapshotOffset();
        int size = (int) Math.min(mSettings.snapshotChunkBytes(), image.data().size() - offset);
        Bytes data = image.data().slice((int) offset, size);
        boolean done = offset + size == image.data().size();
        long sentNanos = nextSentNanos(nowNanos);
        progress.onChunkSent(sentNanos);
        var chunk =
                new MessageBody.InstallSnapshotRequest(
                        image.index(),
                        image.term(),
                        image.membership(),
                        offset,
                        data,
                        done,
                        sentNanos);
        mReplica.outbox().send(mReplica.message(peer, chunk));
    }
}
