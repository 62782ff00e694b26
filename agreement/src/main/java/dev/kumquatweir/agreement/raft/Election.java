package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import java.util.HashSet;
import java.util.Set;

/** Pre-votes, votes and candidacy of one replica. One thread. */
final class Election {
    private final Replica mReplica;
    private final Set<MemberId> mGranted = new HashSet<>();
    private long mOwnVoteSequence;

    Election(Replica replica) {
        mReplica = replica;
    }

    void tick(long nowNanos) {
        boolean due = nowNanos - mReplica.electionDeadlineNanos() >= 0;
        if (!due || mReplica.role() == RaftRole.LEADER) {
            return;
        }
        if (!mReplica.isVoter()) {
            mReplica.resetElectionDeadline(nowNanos);
        } else if (mReplica.settings().has(RaftRule.PRE_VOTE)) {
            startPreVote(nowNanos);
        } else {
            startElection(false, nowNanos);
        }
    }

    /** Starts an election at the leader's request. */
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
                        && !mReplica.heardLeaderLately(nowNanos)
                        && mReplica.isUpToDate(request.lastLogIndex(), request.lastLogTerm());
        var answer = new MessageBody.PreVoteResponse(granted);
        mReplica.outbox().sendAfterHardState(mReplica.message(message.from(), answer));
    }

    void onPreVoteResponse(MemberId voter, MessageBody.PreVoteResponse response, long nowNanos) {
        if (mReplica.role() == RaftRole.PRE_CANDIDATE && response.granted()) {
            mGranted.add(voter);
            if (hasQuorum()) {
                startElection(false, nowNanos);
            }
        }
    }

    /** Answers a request whose term is the present one. */
    void onVoteRequest(RaftMessage message, MessageBody.VoteRequest request, long nowNanos) {
        String candidate = message.from().storeId();
        boolean free = mReplica.votedFor().isEmpty() || mReplica.votedFor().equals(candidate);
        boolean granted =
                free
                        && !mReplica.self().isVolatile()
                        && mReplica.isUpToDate(request.lastLogIndex(), request.lastLogTerm());
        if (granted) {
            mReplica.voteFor(message.from(), nowNanos);
        }
        RaftMessage answer =
                mReplica.message(message.from(), new MessageBody.VoteResponse(granted));
        if (mReplica.settings().has(RaftRule.SYNC_BEFORE_VOTE)) {
            mReplica.outbox().sendAfterHardState(answer);
        } else {
            mReplica.outbox().send(answer);
        }
    }

    void onVoteResponse(MemberId voter, MessageBody.VoteResponse response, long nowNanos) {
        if (mReplica.role() == RaftRole.CANDIDATE && response.granted()) {
            mGranted.add(voter);
            winIfQuorum(nowNanos);
        }
    }

    /** Counts the own vote once it is synced. */
    void onSynced(long nowNanos) {
        boolean synced = mReplica.outbox().completedSequence() >= mOwnVoteSequence;
        if (mReplica.role() == RaftRole.CANDIDATE && synced && mGranted.add(mReplica.self())) {
            winIfQuorum(nowNanos);
        }
    }

    private void startPreVote(long nowNanos) {
        mReplica.becomePreCandidate(nowNanos);
        mGranted.clear();
        mGranted.add(mReplica.self());
        if (hasQuorum()) {
            startElection(false, nowNanos);
            return;
        }
        RaftLog log = mReplica.log();
        askVoters(new MessageBody.PreVoteRequest(log.lastIndex(), log.lastTerm()));
    }

    private void startElection(boolean transfer, long nowNanos) {
        mReplica.becomeCandidate(nowNanos);
        mGranted.clear();
        mOwnVoteSequence = mReplica.outbox().hardStateSequence();
        RaftLog log = mReplica.log();
        askVoters(new MessageBody.VoteRequest(log.lastIndex(), log.lastTerm(), transfer));
    }

    private void askVoters(MessageBody request) {
        mReplica.log().membership().voters().stream()
                .filter(voter -> !voter.equals(mReplica.self()))
                .map(voter -> mReplica.message(voter, request))
                .forEach(mReplica.outbox()::sendAfterHardState);
    }

    private void winIfQuorum(long nowNanos) {
        if (hasQuorum()) {
            mReplica.becomeLeader(nowNanos);
        }
    }

    private boolean hasQuorum() {
        Membership membership = mReplica.log().membership();
        long granted = membership.voters().stream().filter(mGranted::contains).count();
        return granted >= membership.quorum();
    }
}
