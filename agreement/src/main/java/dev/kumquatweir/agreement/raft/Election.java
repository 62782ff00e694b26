package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import java.util.HashSet;
import java.util.Set;

/**
 * Runs the pre-vote and election phases of one replica: starts them when the election timeout
 * expires, counts granted votes and answers vote requests. Term, vote and role belong to {@link
 * Replica}. Called only by the thread that steps the {@link RaftNode}.
 */
final class Election {
    private final Replica mReplica;
    private final Set<MemberId> mGrantedVotes = new HashSet<>();
    private long mOwnVoteWriteSequence;

    Election(Replica replica) {
        mReplica = replica;
    }

    void tick(long nowNanos) {
        boolean due = nowNanos - mReplica.electionDeadlineNanos() >= 0;
        if (!due || mReplica.role() == RaftRole.LEADER) {
            return;
        }
        if (!mReplica.isVoter()) {
            mReplica.forgetLeaderWithoutContact(nowNanos);
            mReplica.resetElectionDeadline(nowNanos);
        } else if (mReplica.settings().isEnabled(RaftRule.PRE_VOTE)) {
            startPreVote(nowNanos);
        } else {
            startElection(false, nowNanos);
        }
    }

    /** Starts an election without a pre-vote, as the leader transfers leadership to this voter. */
    void onTimeoutNow(MemberId sender, long nowNanos) {
        boolean fromLeader = mReplica.leaderId().filter(sender::equals).isPresent();
        if (fromLeader && mReplica.role() == RaftRole.FOLLOWER && mReplica.isVoter()) {
            startElection(true, nowNanos);
        }
    }

    void onPreVoteRequest(RaftMessage message, MessageBody.PreVoteRequest request, long nowNanos) {
        boolean granted =
                message.term() >= mReplica.term()
                        && !mReplica.self().isVolatile()
                        && !mReplica.hasRecentLeaderContact(nowNanos)
                        && mReplica.isCandidateUpToDate(
                                request.lastLogIndex(), request.lastLogTerm());
        var response = new MessageBody.PreVoteResponse(granted);
        mReplica.outbox().sendAfterHardState(mReplica.message(message.from(), response));
    }

    void onPreVoteResponse(MemberId voter, MessageBody.PreVoteResponse response, long nowNanos) {
        if (mReplica.role() == RaftRole.PRE_CANDIDATE && response.granted()) {
            mGrantedVotes.add(voter);
            if (hasQuorum()) {
                startElection(false, nowNanos);
            }
        }
    }

    /** Answers a vote request whose term equals this replica's term. */
    void onVoteRequest(RaftMessage message, MessageBody.VoteRequest request, long nowNanos) {
        String candidate = message.from().storeId();
        boolean voteAvailable =
                mReplica.votedFor().isEmpty() || mReplica.votedFor().equals(candidate);
        boolean granted =
                voteAvailable
                        && !mReplica.self().isVolatile()
                        && mReplica.isCandidateUpToDate(
                                request.lastLogIndex(), request.lastLogTerm());
        if (granted) {
            mReplica.recordVote(message.from(), nowNanos);
        }
        RaftMessage response =
                mReplica.message(message.from(), new MessageBody.VoteResponse(granted));
        if (mReplica.settings().isEnabled(RaftRule.SYNC_BEFORE_VOTE)) {
            mReplica.outbox().sendAfterHardState(response);
        } else {
            mReplica.outbox().send(response);
        }
    }

    void onVoteResponse(MemberId voter, MessageBody.VoteResponse response, long nowNanos) {
        if (mReplica.role() == RaftRole.CANDIDATE && response.granted()) {
            mGrantedVotes.add(voter);
            becomeLeaderIfQuorum(nowNanos);
        }
    }

    /** Counts the candidate's vote for itself once it is synced to disk. */
    void onStorageSynced(long nowNanos) {
        boolean synced = mReplica.outbox().syncedSequence() >= mOwnVoteWriteSequence;
        if (mReplica.role() == RaftRole.CANDIDATE && synced && mGrantedVotes.add(mReplica.self())) {
            becomeLeaderIfQuorum(nowNanos);
        }
    }

    private void startPreVote(long nowNanos) {
        mReplica.becomePreCandidate(nowNanos);
        mGrantedVotes.clear();
        mGrantedVotes.add(mReplica.self());
        if (hasQuorum()) {
            startElection(false, nowNanos);
            return;
        }
        RaftLog log = mReplica.log();
        broadcastToVoters(new MessageBody.PreVoteRequest(log.lastIndex(), log.lastTerm()));
    }

    private void startElection(boolean leadershipTransfer, long nowNanos) {
        mReplica.becomeCandidate(nowNanos);
        mGrantedVotes.clear();
        mOwnVoteWriteSequence = mReplica.outbox().hardStateSequence();
        RaftLog log = mReplica.log();
        broadcastToVoters(
                new MessageBody.VoteRequest(log.lastIndex(), log.lastTerm(), leadershipTransfer));
    }

    private void broadcastToVoters(MessageBody request) {
        mReplica.log().membership().voters().stream()
                .filter(voter -> !voter.equals(mReplica.self()))
                .map(voter -> mReplica.message(voter, request))
                .forEach(mReplica.outbox()::sendAfterHardState);
    }

    private void becomeLeaderIfQuorum(long nowNanos) {
        if (hasQuorum()) {
            mReplica.becomeLeader(nowNanos);
        }
    }

    private boolean hasQuorum() {
        Membership membership = mReplica.log().membership();
        long granted = membership.voters().stream().filter(mGrantedVotes::contains).count();
        return granted >= membership.quorum();
    }
}
