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

/** Replication, commit, heartbeats and lease of one leadership; dropped when it ends. */
final class Leader {
    /** A chunk without an answer is sent again after this many heartbeats. */
    private static final int CHUNK_PATIENCE_HEARTBEATS = 3;

    private final Replica mReplica;
    private final RaftSettings mSettings;
    private final RaftLog mLog;
    private final SortedMap<MemberId, Progress> mPeers = new TreeMap<>();
    private final LeaderRequests mRequests;
    private final long mTerm;
    private long mTermStartIndex;
    private long mStamp;

    Leader(Replica replica, long nowNanos) {
        mReplica = replica;
        mSettings = replica.settings();
        mLog = replica.log();
        mTerm = replica.term();
        mStamp = nowNanos;
        mRequests = new LeaderRequests(replica, this);
    }

    // Life-cycle

    void start(long nowNanos) {
        mTermStartIndex = append(EntryKind.NO_OPERATION, Bytes.EMPTY, nowNanos);
        advanceCommit(nowNanos);
    }

    /** Fails what is outstanding; the replica follows from now on. */
    void end() {
        mRequests.end();
    }

    void tick(long nowNanos) {
        boolean lost = voterAge(progress -> progress.contactAge(nowNanos)) > contactLimit();
        if (lost && mSettings.has(RaftRule.CHECK_QUORUM)) {
            mReplica.becomeFollower(mTerm, nowNanos);
            return;
        }
        if (!mRequests.tick(nowNanos)) {
            return;
        }
        mPeers.forEach(
                (peer, progress) -> {
                    if (progress.heartbeatDue(nowNanos)) {
                        heartbeat(peer, progress, nowNanos);
                    }
                });
    }

    // Public to the package

    LeaderRequests requests() {
        return mRequests;
    }

    long term() {
        return mTerm;
    }

    boolean hasCommittedInTerm() {
        return mReplica.commitIndex() >= mTermStartIndex;
    }

    /**
     * Returns the present leader lease: how long it lasts from now, not positive if there is none.
     */
    long leaseNanos(long nowNanos) {
        boolean handedOver = mRequests.handedOver() && mSettings.has(RaftRule.NO_LEASE_IN_TRANSFER);
        if (!hasCommittedInTerm() || handedOver) {
            return 0;
        }
        long age = acknowledgedAge(nowNanos);
        return Math.max(0, mSettings.leaderLeaseNanos() - age);
    }

    /** Returns the age of the newest message that a quorum has acknowledged. */
    long acknowledgedAge(long nowNanos) {
        return voterAge(progress -> progress.acknowledgedAge(nowNanos));
    }

    boolean quorumHeardLately(long nowNanos) {
        return voterAge(progress -> progress.contactAge(nowNanos))
                < mSettings.minElectionTimeoutNanos();
    }

    /** Returns whether a quorum of a planned membership was heard from lately. */
    boolean quorumReachable(Membership planned, long nowNanos) {
        long reachable =
                planned.voters().stream().filter(voter -> isReachable(voter, nowNanos)).count();
        return reachable >= planned.quorum();
    }

    @Nullable Progress progress(MemberId member) {
        return mPeers.get(member);
    }

    /** Returns a stamp that is newer than all before it. */
    long nextStamp(long nowNanos) {
        mStamp = Math.max(mStamp + 1, nowNanos);
        return mStamp;
    }

    /** Appends an entry and sends it; returns its index. */
    long append(EntryKind kind, Bytes payload, long nowNanos) {
        var entry = new LogEntry(mLog.lastIndex() + 1, mTerm, payload, kind);
        mLog.append(entry);
        mReplica.outbox().append(entry);
        followMembership(nowNanos);
        mPeers.forEach((peer, progress) -> replicate(peer, progress, nowNanos));
        return entry.index();
    }

    /** Sends a heartbeat to each voter, to confirm reads. */
    void confirm(long nowNanos) {
        mPeers.forEach(
                (peer, progress) -> {
                    if (mLog.membership().isVoter(peer)) {
                        heartbeat(peer, progress, nowNanos);
                    }
                });
    }

    void onAppendResponse(
            MemberId peer, MessageBody.AppendEntriesResponse response, long nowNanos) {
        Progress progress = mPeers.get(peer);
        if (progress == null) {
            return;
        }
        progress.onStamp(response.echoedSentNanos());
        if (!response.accepted()) {
            progress.onRefused(response.rejectedIndex(), response.nextIndex(), peer.isVolatile());
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
        progress.onStamp(response.echoedSentNanos());
        if (progress.onChunkAnswered(
                response.lastIncludedIndex(), response.nextOffset(), response.echoedSentNanos())) {
            sendChunk(peer, progress, nowNanos);
        }
        mRequests.onAcknowledged(nowNanos);
    }

    /**
     * Commits what enough voters have synced; entries of earlier terms only by one of this term.
     */
    void advanceCommit(long nowNanos) {
        Membership membership = mLog.membership();
        List<Long> durable =
                membership.voters().stream()
                        .map(this::durableIndex)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        int copies = Math.min(mSettings.durableCopies(), durable.size());
        long index = durable.get(Math.max(membership.quorum(), copies) - 1);
        boolean ownTerm = mLog.term(index) == mTerm || !mSettings.has(RaftRule.COMMIT_IN_OWN_TERM);
        if (index > mReplica.commitIndex() && ownTerm) {
            mReplica.commitTo(index);
            mRequests.onAcknowledged(nowNanos);
            mPeers.forEach((peer, progress) -> replicate(peer, progress, nowNanos));
        }
    }

    // Helpers

    private long contactLimit() {
        return mSettings.maxElectionTimeoutNanos();
    }

    private boolean isReachable(MemberId voter, long nowNanos) {
        if (voter.equals(mReplica.self())) {
            return true;
        }
        Progress progress = mPeers.get(voter);
        return progress != null
                && progress.acknowledgedAge(nowNanos) < mSettings.minElectionTimeoutNanos();
    }

    private long durableIndex(MemberId voter) {
        if (voter.equals(mReplica.self())) {
            return mReplica.durableIndex();
        }
        Progress progress = mPeers.get(voter);
        return progress == null ? 0 : progress.matchIndex();
    }

    /** Returns the age within which a quorum of voters, this one included, is seen. */
    private long voterAge(Function<Progress, Long> age) {
        Membership membership = mLog.membership();
        List<Long> ages =
                membership.voters().stream().map(voter -> ageOf(voter, age)).sorted().toList();
        return ages.get(membership.quorum() - 1);
    }

    private long ageOf(MemberId voter, Function<Progress, Long> age) {
        if (voter.equals(mReplica.self())) {
            return 0;
        }
        Progress progress = mPeers.get(voter);
        return progress == null ? Progress.NEVER : age.apply(progress);
    }

    private void followMembership(long nowNanos) {
        List<MemberId> members =
                mLog.membership().members().stream()
                        .map(Member::id)
                        .filter(member -> !member.equals(mReplica.self()))
                        .toList();
        mPeers.keySet().retainAll(members);
        // Optimistic: a member whose log differs refuses, and the place is looked for then.
        members.forEach(
                member ->
                        mPeers.computeIfAbsent(
                                member, id -> new Progress(mLog.lastIndex(), nowNanos)));
    }

    private void heartbeat(MemberId peer, Progress progress, long nowNanos) {
        boolean voter = mLog.membership().isVoter(peer);
        long period =
                voter
                        ? mSettings.heartbeatIntervalNanos()
                        : mSettings.learnerHeartbeatIntervalNanos();
        progress.nextHeartbeat(nowNanos + period);
        if (progress.mode() == Progress.Mode.SNAPSHOT) {
            long patience = CHUNK_PATIENCE_HEARTBEATS * mSettings.heartbeatIntervalNanos();
            if (progress.chunkAge(nowNanos) >= patience) {
                sendChunk(peer, progress, nowNanos);
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
            sendChunk(peer, progress, nowNanos);
            return;
        }
        if (progress.canProbe()) {
            progress.onProbeSent();
            sendAppend(peer, progress, List.of(), nowNanos);
        }
        long last = lastIndexFor(peer);
        while (progress.canSendBatch(mSettings.maxInflightBatches())
                && progress.nextIndex() <= last) {
            long room = Math.min(mSettings.maxBatchEntries(), last - progress.nextIndex() + 1);
            List<LogEntry> entries =
                    mLog.slice(progress.nextIndex(), (int) room, mSettings.maxBatchBytes());
            sendAppend(peer, progress, entries, nowNanos);
            progress.onBatchSent(entries);
        }
    }

    /**
     * Learners get committed entries only. A learner with entries that were never committed would
     * refuse its vote to a voter without them when an uncommitted membership makes it a voter, and
     * could not be elected itself: the group would be stuck once their leader's disk is lost.
     */
    private long lastIndexFor(MemberId peer) {
        return mLog.membership().isVoter(peer) ? mLog.lastIndex() : mReplica.commitIndex();
    }

    private void sendAppend(
            MemberId peer, Progress progress, List<LogEntry> entries, long nowNanos) {
        long previous = progress.nextIndex() - 1;
        var request =
                new MessageBody.AppendEntriesRequest(
                        previous,
                        mLog.term(previous),
                        entries,
                        mReplica.commitIndex(),
                        nextStamp(nowNanos));
        mReplica.outbox().send(mReplica.message(peer, request));
    }

    private void sendChunk(MemberId peer, Progress progress, long nowNanos) {
        SnapshotImage image = progress.snapshot();
        if (image == null) {
            return;
        }
        long offset = progress.snapshotOffset();
        int size = (int) Math.min(mSettings.snapshotChunkBytes(), image.data().size() - offset);
        Bytes data = image.data().slice((int) offset, size);
        boolean last = offset + size == image.data().size();
        long stamp = nextStamp(nowNanos);
        progress.onChunkSent(stamp);
        var chunk =
                new MessageBody.InstallSnapshotRequest(
                        image.index(), image.term(), image.membership(), offset, data, last, stamp);
        mReplica.outbox().send(mReplica.message(peer, chunk));
    }
}
