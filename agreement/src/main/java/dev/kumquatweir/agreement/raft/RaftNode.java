package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StoredState;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * One Raft replica as a deterministic state machine: it does no I/O, reads no clock and takes
 * random numbers only from the given generator. Used by one thread.
 *
 * <p>The caller executes the outputs of each step in order before the next step. Messages may be
 * lost, duplicated, delayed and reordered. All times are monotonic nanoseconds of one clock.
 */
public final class RaftNode {
    private final Replica mReplica;
    private final Election mElection;
    private final Follower mFollower;
    private boolean mStorageFull;

    /**
     * Creates a replica from the state in its log store.
     *
     * @param settings settings of the replica
     * @param name name of this instance
     * @param state state loaded from the log store
     * @param random generator for election timeouts
     * @param nowNanos current time
     */
    public RaftNode(
            RaftSettings settings,
            String name,
            StoredState state,
            RandomGenerator random,
            long nowNanos) {
        var self = new MemberId(name, state.storeId());
        mReplica = new Replica(settings, self, state, random, nowNanos);
        mElection = new Election(mReplica);
        mFollower = new Follower(mReplica);
    }

    // Life-cycle

    /**
     * Returns the outputs to execute before the first step, such as the restore of the stored
     * snapshot.
     */
    public List<RaftOutput> start() {
        SnapshotImage snapshot = mReplica.log().snapshot();
        if (snapshot != null) {
            mReplica.outbox().add(new RaftOutput.Restore(snapshot));
        }
        if (mReplica.log().storedEntriesDiscarded()) {
            mReplica.outbox().truncateFrom(1);
        }
        return finishStep();
    }

    /**
     * Processes one input.
     *
     * @param input the input
     * @param nowNanos current time, not before that of the previous step
     * @return the outputs, to be executed in this order
     */
    public List<RaftOutput> step(RaftInput input, long nowNanos) {
        switch (input) {
            case RaftInput.Tick() -> tick(nowNanos);
            case RaftInput.Receive(RaftMessage message) -> receive(message, nowNanos);
            case RaftInput.StorageSynced synced -> {
                mReplica.outbox().onStorageSynced(synced.completion().sequence());
                onStorageSynced(nowNanos);
            }
            case RaftInput.StorageFull(boolean full) -> mStorageFull = full;
            case RaftInput.SnapshotTaken taken -> mReplica.onSnapshotTaken(taken, nowNanos);
            case RaftInput.Propose proposal -> {
                Leader leader = leaderOrFail(proposal.requestId());
                if (leader != null) {
                    leader.requests().propose(proposal, mStorageFull, nowNanos);
                }
            }
            case RaftInput.ReadIndex(long requestId) -> {
                Leader leader = leaderOrFail(requestId);
                if (leader != null) {
                    leader.requests().readIndex(requestId, nowNanos);
                }
            }
            case RaftInput.ChangeMembership change -> {
                Leader leader = leaderOrFail(change.requestId());
                if (leader != null) {
                    leader.requests().changeMembership(change, mStorageFull, nowNanos);
                }
            }
            case RaftInput.TransferLeadership transfer -> {
                Leader leader = leaderOrFail(transfer.requestId());
                if (leader != null) {
                    leader.requests().transferLeadership(transfer, nowNanos);
                }
            }
        }
        mReplica.requestSnapshotIfDue(nowNanos);
        return finishStep();
    }

    // Public API

    /** Returns the identity of this replica. */
    public MemberId self() {
        return mReplica.self();
    }

    /** Returns the current role. */
    public RaftRole role() {
        return mReplica.role();
    }

    /** Returns the current term. */
    public long term() {
        return mReplica.term();
    }

    /** Returns the leader of the current term, if known. */
    public Optional<MemberId> leader() {
        return mReplica.leaderId();
    }

    /** Returns the commit index; all entries up to it have been output for application. */
    public long commitIndex() {
        return mReplica.commitIndex();
    }

    /** Returns the index of the last entry. */
    public long lastIndex() {
        return mReplica.log().lastIndex();
    }

    /** Returns what the log takes in memory. */
    public LogSize logSize() {
        return mReplica.log().size();
    }

    /** Returns the latest membership in the log, committed or not. */
    public Membership membership() {
        return mReplica.log().membership();
    }

    /**
     * Returns the remaining leader lease in nanoseconds: the time from now for which no other
     * leader can exist, 0 if there is no lease. It is positive only after this leader has committed
     * an entry of its term, so the applied state then is the latest.
     */
    public long leaderLeaseNanos(long nowNanos) {
        Leader leader = mReplica.leader();
        return leader == null ? 0 : leader.leaseNanos(nowNanos);
    }

    /**
     * Returns whether this leader has committed an entry of its term, so that its applied state
     * includes all that earlier leaders committed.
     */
    public boolean isReadyLeader() {
        Leader leader = mReplica.leader();
        return leader != null && leader.hasCommittedInTerm();
    }

    /**
     * Returns whether the applied state includes all that was committed when this replica last
     * heard from its leader. A replica that was restarted or replaced applies the entries of its
     * log again; until it has caught up its state is one that held in the past.
     */
    public boolean isCaughtUp() {
        if (mReplica.leader() != null) {
            return isReadyLeader();
        }
        // A leader learns what earlier leaders committed when it commits an entry of its own term.
        long commitIndex = mReplica.commitIndex();
        return mReplica.leaderId().isPresent()
                && commitIndex >= mFollower.leaderCommitIndex()
                && mReplica.log().term(commitIndex) == mReplica.term();
    }

    /**
     * Returns the time since the leader sent the newest message that a member acknowledged, or
     * since the leader began to track that member. Empty if this replica is not the leader or does
     * not track the member.
     */
    public OptionalLong contactAgeNanos(MemberId member, long nowNanos) {
        Leader leader = mReplica.leader();
        Progress progress = leader == null ? null : leader.progress(member);
        return progress == null
                ? OptionalLong.empty()
                : OptionalLong.of(progress.contactAgeNanos(nowNanos));
    }

    /** Returns whether this leader knows that a member has synced all committed entries. */
    public boolean isCaughtUp(MemberId member) {
        Leader leader = mReplica.leader();
        Progress progress = leader == null ? null : leader.progress(member);
        return progress != null && progress.matchIndex() >= mReplica.commitIndex();
    }

    /** Returns whether this leader knows that a member has synced the latest membership. */
    public boolean hasLatestMembership(MemberId member) {
        Leader leader = mReplica.leader();
        Progress progress = leader == null ? null : leader.progress(member);
        return member.equals(mReplica.self())
                || (progress != null && progress.matchIndex() >= mReplica.log().membershipIndex());
    }

    // Helpers

    Replica replica() {
        return mReplica;
    }

    private List<RaftOutput> finishStep() {
        mReplica.reportRoleChange();
        return mReplica.outbox().finishStep(mReplica.log().lastIndex());
    }

    private void tick(long nowNanos) {
        Leader leader = mReplica.leader();
        if (leader != null) {
            leader.tick(nowNanos);
        } else {
            mElection.tick(nowNanos);
        }
    }

    private void onStorageSynced(long nowNanos) {
        Leader leader = mReplica.leader();
        if (leader != null) {
            leader.advanceCommit(nowNanos);
        } else if (mReplica.role() == RaftRole.CANDIDATE) {
            mElection.onStorageSynced(nowNanos);
        } else {
            mFollower.onStorageSynced();
        }
    }

    private @Nullable Leader leaderOrFail(long requestId) {
        Leader leader = mReplica.leader();
        if (leader == null) {
            var failure = new RaftFailure.NotLeader(mReplica.leaderId());
            mReplica.outbox().add(new RaftOutput.RequestFailed(requestId, failure));
        }
        return leader;
    }

    private void receive(RaftMessage message, long nowNanos) {
        boolean addressedHere =
                message.clusterId().equals(mReplica.settings().clusterId())
                        && message.to().equals(mReplica.self());
        if (!addressedHere) {
            return;
        }
        if (message.body() instanceof MessageBody.PreVoteRequest request) {
            mElection.onPreVoteRequest(message, request, nowNanos);
            return;
        }
        boolean disruptive =
                message.body() instanceof MessageBody.VoteRequest request
                        && !request.leadershipTransfer()
                        && mReplica.hasRecentLeaderContact(nowNanos);
        Optional<MemberId> sender = verifiedSender(message);
        if (disruptive || sender.isEmpty()) {
            return;
        }
        if (message.term() > mReplica.term()) {
            mReplica.becomeFollower(message.term(), nowNanos);
        }
        if (message.body() instanceof MessageBody.PreVoteResponse response) {
            // A pre-vote may be granted by a voter of an earlier term, so the term is not checked.
            mElection.onPreVoteResponse(sender.get(), response, nowNanos);
        } else if (message.term() < mReplica.term()) {
            sendStaleTerm(message);
        } else {
            dispatch(message, sender.get(), nowNanos);
        }
    }

    /** Returns the verified sender; empty for responses from anybody who is not a member. */
    private Optional<MemberId> verifiedSender(RaftMessage message) {
        return message.body().isResponse()
                ? mReplica.matchingMember(message.from())
                : Optional.of(message.from());
    }

    /** Informs a leader or candidate of an earlier term about the current term. */
    private void sendStaleTerm(RaftMessage message) {
        if (!message.body().isResponse()) {
            RaftMessage response = mReplica.message(message.from(), new MessageBody.StaleTerm());
            mReplica.outbox().sendAfterHardState(response);
        }
    }

    private void dispatch(RaftMessage message, MemberId sender, long nowNanos) {
        switch (message.body()) {
            case MessageBody.VoteRequest request ->
                    mElection.onVoteRequest(message, request, nowNanos);
            case MessageBody.VoteResponse response ->
                    mElection.onVoteResponse(sender, response, nowNanos);
            case MessageBody.TimeoutNow() -> mElection.onTimeoutNow(sender, nowNanos);
            case MessageBody.AppendEntriesRequest request -> {
                if (acceptLeader(nowNanos)) {
                    mFollower.onAppendEntries(sender, request, nowNanos);
                }
            }
            case MessageBody.InstallSnapshotRequest chunk -> {
                if (acceptLeader(nowNanos)) {
                    mFollower.onInstallSnapshot(sender, chunk, nowNanos);
                }
            }
            case MessageBody.AppendEntriesResponse response -> {
                Leader leader = mReplica.leader();
                if (leader != null) {
                    leader.onAppendResponse(sender, response, nowNanos);
                }
            }
            case MessageBody.InstallSnapshotResponse response -> {
                Leader leader = mReplica.leader();
                if (leader != null) {
                    leader.onSnapshotResponse(sender, response, nowNanos);
                }
            }
            case MessageBody.PreVoteRequest _,
                    MessageBody.PreVoteResponse _,
                    MessageBody.StaleTerm _ -> {}
        }
    }

    /** Becomes a follower of the leader of this term; false if this replica is the leader. */
    private boolean acceptLeader(long nowNanos) {
        if (mReplica.role() == RaftRole.LEADER) {
            return false;
        }
        if (mReplica.role() != RaftRole.FOLLOWER) {
            mReplica.becomeFollower(mReplica.term(), nowNanos);
        }
        return true;
    }
}
