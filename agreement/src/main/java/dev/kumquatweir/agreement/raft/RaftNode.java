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
 * One replica of the group as a deterministic state machine: it does no I/O, reads no clock and
 * draws only from the generator it is given. Used by one thread.
 *
 * <p>The caller carries out the outputs of each step in order before the next step. Messages may be
 * lost, duplicated, delayed and reordered. All times are monotonic nanoseconds of one clock.
 */
public final class RaftNode {
    private final Replica mReplica;
    private final Election mElection;
    private final Follower mFollower;
    private boolean mStorageFull;

    /**
     * Makes a replica from what its log store holds.
     *
     * @param settings settings
     * @param name name of this instance
     * @param state content of the log store
     * @param random source of the election timeouts
     * @param nowNanos present time
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

    /** Returns the outputs due before the first step: the stored snapshot to restore, if any. */
    public List<RaftOutput> start() {
        SnapshotImage snapshot = mReplica.log().snapshot();
        if (snapshot != null) {
            mReplica.outbox().add(new RaftOutput.Restore(snapshot));
        }
        if (mReplica.log().storedEntriesIgnored()) {
            mReplica.outbox().truncateFrom(1);
        }
        return finish();
    }

    /**
     * Takes one input.
     *
     * @param input what happened
     * @param nowNanos present time, never less than in the step before
     * @return what to do, in this order
     */
    public List<RaftOutput> step(RaftInput input, long nowNanos) {
        switch (input) {
            case RaftInput.Tick() -> tick(nowNanos);
            case RaftInput.Receive(RaftMessage message) -> receive(message, nowNanos);
            case RaftInput.StorageSynced synced -> {
                mReplica.outbox().onSynced(synced.completion().sequence());
                onSynced(nowNanos);
            }
            case RaftInput.StorageFull(boolean full) -> mStorageFull = full;
            case RaftInput.SnapshotTaken taken -> mReplica.onSnapshotTaken(taken);
            case RaftInput.Propose proposal -> {
                Leader leader = leaderFor(proposal.requestId());
                if (leader != null) {
                    leader.requests().propose(proposal, mStorageFull, nowNanos);
                }
            }
            case RaftInput.ReadIndex(long requestId) -> {
                Leader leader = leaderFor(requestId);
                if (leader != null) {
                    leader.requests().read(requestId, nowNanos);
                }
            }
            case RaftInput.ChangeMembership change -> {
                Leader leader = leaderFor(change.requestId());
                if (leader != null) {
                    leader.requests().change(change, mStorageFull, nowNanos);
                }
            }
            case RaftInput.TransferLeadership transfer -> {
                Leader leader = leaderFor(transfer.requestId());
                if (leader != null) {
                    leader.requests().transfer(transfer, nowNanos);
                }
            }
        }
        return finish();
    }

    // Public API

    /** Returns the identity of this replica. */
    public MemberId self() {
        return mReplica.self();
    }

    /** Returns the present role. */
    public RaftRole role() {
        return mReplica.role();
    }

    /** Returns the present term. */
    public long term() {
        return mReplica.term();
    }

    /** Returns the leader of the present term, if it is known. */
    public Optional<MemberId> leader() {
        return mReplica.leaderId();
    }

    /** Returns the index of the last entry known to be committed; all up to it are applied. */
    public long commitIndex() {
        return mReplica.commitIndex();
    }

    /** Returns the index of the last entry. */
    public long lastIndex() {
        return mReplica.log().lastIndex();
    }

    /** Returns the newest membership, whether committed or not. */
    public Membership membership() {
        return mReplica.log().membership();
    }

    /**
     * Returns for how long from now no other leader can exist, not positive if that is not known.
     * Positive only after this leader has committed an entry of its term, so the applied state is
     * the newest.
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
     * Returns how long ago a member last answered, as the leader sees it; empty if this replica
     * does not lead or the member is not known.
     */
    public OptionalLong contactAgeNanos(MemberId member, long nowNanos) {
        Leader leader = mReplica.leader();
        Progress progress = leader == null ? null : leader.progress(member);
        return progress == null
                ? OptionalLong.empty()
                : OptionalLong.of(progress.contactAge(nowNanos));
    }

    /** Returns whether a member has synced all that is committed, as the leader sees it. */
    public boolean isCaughtUp(MemberId member) {
        Leader leader = mReplica.leader();
        Progress progress = leader == null ? null : leader.progress(member);
        return progress != null && progress.matchIndex() >= mReplica.commitIndex();
    }

    // Helpers

    Replica replica() {
        return mReplica;
    }

    private List<RaftOutput> finish() {
        mReplica.announceRole();
        return mReplica.outbox().finish(mReplica.log().lastIndex());
    }

    private void tick(long nowNanos) {
        Leader leader = mReplica.leader();
        if (leader != null) {
            leader.tick(nowNanos);
        } else {
            mElection.tick(nowNanos);
        }
    }

    private void onSynced(long nowNanos) {
        Leader leader = mReplica.leader();
        if (leader != null) {
            leader.advanceCommit(nowNanos);
        } else if (mReplica.role() == RaftRole.CANDIDATE) {
            mElection.onSynced(nowNanos);
        } else {
            mFollower.onSynced();
        }
    }

    private @Nullable Leader leaderFor(long requestId) {
        Leader leader = mReplica.leader();
        if (leader == null) {
            var failure = new RaftFailure.NotLeader(mReplica.leaderId());
            mReplica.outbox().add(new RaftOutput.RequestFailed(requestId, failure));
        }
        return leader;
    }

    private void receive(RaftMessage message, long nowNanos) {
        boolean addressed =
                message.clusterId().equals(mReplica.settings().clusterId())
                        && message.to().equals(mReplica.self());
        if (!addressed) {
            return;
        }
        if (message.body() instanceof MessageBody.PreVoteRequest request) {
            mElection.onPreVoteRequest(message, request, nowNanos);
            return;
        }
        boolean disturbs =
                message.body() instanceof MessageBody.VoteRequest request
                        && !request.leadershipTransfer()
                        && mReplica.heardLeaderLately(nowNanos);
        Optional<MemberId> sender = countedSender(message);
        if (disturbs || sender.isEmpty()) {
            return;
        }
        if (message.term() > mReplica.term()) {
            mReplica.becomeFollower(message.term(), nowNanos);
        }
        if (message.body() instanceof MessageBody.PreVoteResponse response) {
            // A voter that grants may still be in an earlier term.
            mElection.onPreVoteResponse(sender.get(), response, nowNanos);
        } else if (message.term() < mReplica.term()) {
            answerStale(message);
        } else {
            dispatch(message, sender.get(), nowNanos);
        }
    }

    /** Returns who counts as the sender; answers of others than members count for nobody. */
    private Optional<MemberId> countedSender(RaftMessage message) {
        return message.body().isResponse()
                ? mReplica.countedMember(message.from())
                : Optional.of(message.from());
    }

    /** Tells a leader or candidate of an earlier term about the present one. */
    private void answerStale(RaftMessage message) {
        if (!message.body().isResponse()) {
            RaftMessage answer = mReplica.message(message.from(), new MessageBody.StaleTerm());
            mReplica.outbox().sendAfterHardState(answer);
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
                if (followLeader(nowNanos)) {
                    mFollower.onAppend(sender, request, nowNanos);
                }
            }
            case MessageBody.InstallSnapshotRequest chunk -> {
                if (followLeader(nowNanos)) {
                    mFollower.onChunk(sender, chunk, nowNanos);
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

    /** Gives way to the leader of the present term; false if this replica is that leader. */
    private boolean followLeader(long nowNanos) {
        if (mReplica.role() == RaftRole.LEADER) {
            return false;
        }
        if (mReplica.role() != RaftRole.FOLLOWER) {
            mReplica.becomeFollower(mReplica.term(), nowNanos);
        }
        return true;
    }
}
