package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.codec.MembershipCodec;
import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.RaftFailure.Reason;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the pending proposals, linearizable reads, membership changes and leadership transfer of
 * one leader, and fails them when its leadership ends. Called only by the thread that steps the
 * {@link RaftNode}.
 */
final class LeaderRequests {
    private static final int MAX_PENDING_READS = 10_000;

    private final Replica mReplica;
    private final Leader mLeader;
    private final TreeMap<Long, PendingProposal> mProposals = new TreeMap<>();
    private final List<PendingRead> mReads = new ArrayList<>();
    private long mUncommittedBytes;
    private @Nullable PendingTransfer mTransfer;

    LeaderRequests(Replica replica, Leader leader) {
        mReplica = replica;
        mLeader = leader;
    }

    private record PendingProposal(long requestId, int bytes) {}

    private record PendingRead(long requestId, long readIndex, long sentNanos) {}

    private record PendingTransfer(
            long requestId, MemberId target, long deadlineNanos, boolean timeoutNowSent) {}

    void propose(RaftInput.Propose proposal, boolean storageFull, long nowNanos) {
        int bytes = proposal.command().size();
        Optional<Reason> refusal = appendRefusal(bytes, storageFull).or(() -> logRefusal(bytes));
        if (refusal.isPresent()) {
            fail(proposal.requestId(), new RaftFailure.Refused(refusal.get()));
            return;
        }
        trackProposal(proposal.requestId(), bytes);
        mLeader.append(EntryKind.COMMAND, proposal.command(), nowNanos);
    }

    void readIndex(long requestId, long nowNanos) {
        if (!mLeader.hasCommittedInTerm()) {
            fail(requestId, new RaftFailure.Refused(Reason.LEADER_NOT_READY));
        } else if (mLeader.leaseNanos(nowNanos) > 0) {
            mReplica.outbox().add(new RaftOutput.ReadReady(requestId, mReplica.commitIndex()));
        } else if (mReads.size() >= MAX_PENDING_READS) {
            fail(requestId, new RaftFailure.Refused(Reason.OVERLOADED));
        } else {
            long sentNanos = mLeader.nextSentNanos(nowNanos);
            mReads.add(new PendingRead(requestId, mReplica.commitIndex(), sentNanos));
            mLeader.sendHeartbeatsToVoters(nowNanos);
        }
    }

    void changeMembership(RaftInput.ChangeMembership request, boolean storageFull, long nowNanos) {
        Optional<Reason> refusal = appendRefusal(0, storageFull).or(this::membershipChangeRefusal);
        Either<RaftFailure, Membership> planned =
                refusal.isPresent()
                        ? Either.left(new RaftFailure.Refused(refusal.get()))
                        : planChange(request.change(), nowNanos);
        if (planned.isLeft()) {
            fail(request.requestId(), planned.getLeft());
            return;
        }
        var payload = MembershipCodec.encode(planned.get());
        trackProposal(request.requestId(), payload.size());
        mLeader.append(EntryKind.MEMBERSHIP, payload, nowNanos);
        mLeader.advanceCommit(nowNanos);
    }

    void transferLeadership(RaftInput.TransferLeadership request, long nowNanos) {
        Optional<MemberId> target =
                mReplica.log()
                        .membership()
                        .byName(request.target())
                        .filter(Member::isVoter)
                        .map(Member::id)
                        .filter(member -> !member.equals(mReplica.self()));
        if (target.isEmpty()) {
            fail(request.requestId(), new RaftFailure.Refused(Reason.UNSUITABLE_MEMBER));
        } else if (mTransfer != null) {
            fail(request.requestId(), new RaftFailure.Refused(Reason.TRANSFER_IN_PROGRESS));
        } else {
            long deadlineNanos = nowNanos + mReplica.settings().maxElectionTimeoutNanos();
            mTransfer =
                    new PendingTransfer(request.requestId(), target.get(), deadlineNanos, false);
            sendTimeoutNowIfCaughtUp();
        }
    }

    /** Returns whether TimeoutNow was sent to the target of a leadership transfer. */
    boolean isTimeoutNowSent() {
        return mTransfer != null && mTransfer.timeoutNowSent();
    }

    /** Removes the proposal of an entry and returns its request id, 0 if there is none. */
    long removeProposal(long index) {
        PendingProposal pending = mProposals.remove(index);
        if (pending == null) {
            return 0;
        }
        mUncommittedBytes -= pending.bytes();
        return pending.requestId();
    }

    /** Completes reads and continues the transfer after an acknowledgement or a commit. */
    void onAcknowledged(long nowNanos) {
        long ageNanos = mLeader.quorumAcknowledgedAgeNanos(nowNanos);
        while (!mReads.isEmpty() && ageNanos <= nowNanos - mReads.getFirst().sentNanos()) {
            PendingRead read = mReads.removeFirst();
            mReplica.outbox().add(new RaftOutput.ReadReady(read.requestId(), read.readIndex()));
        }
        sendTimeoutNowIfCaughtUp();
    }

    /** Checks the deadline of the transfer; returns false if this replica stepped down. */
    boolean tick(long nowNanos) {
        PendingTransfer transfer = mTransfer;
        if (transfer == null || nowNanos - transfer.deadlineNanos() < 0) {
            return true;
        }
        if (transfer.timeoutNowSent()) {
            // The target may still win: voters grant its delayed vote requests despite recent
            // leader contact. This leader must not hold a lease again before a new term.
            mReplica.becomeFollower(mLeader.term(), nowNanos);
            return false;
        }
        mTransfer = null;
        fail(transfer.requestId(), new RaftFailure.Refused(Reason.TRANSFER_FAILED));
        return true;
    }

    /** Fails all pending requests when leadership ends. */
    void failAll() {
        mProposals
                .values()
                .forEach(pending -> fail(pending.requestId(), new RaftFailure.OutcomeUncertain()));
        var notLeader = new RaftFailure.NotLeader(mReplica.leaderId());
        mReads.forEach(read -> fail(read.requestId(), notLeader));
        PendingTransfer transfer = mTransfer;
        if (transfer == null) {
            return;
        }
        if (transfer.timeoutNowSent() && mReplica.term() > mLeader.term()) {
            mReplica.outbox().add(new RaftOutput.LeadershipTransferred(transfer.requestId()));
        } else {
            fail(transfer.requestId(), new RaftFailure.Refused(Reason.TRANSFER_FAILED));
        }
    }

    private void trackProposal(long requestId, int bytes) {
        mProposals.put(mReplica.log().lastIndex() + 1, new PendingProposal(requestId, bytes));
        mUncommittedBytes += bytes;
    }

    private void fail(long requestId, RaftFailure failure) {
        mReplica.outbox().add(new RaftOutput.RequestFailed(requestId, failure));
    }

    private Optional<Reason> appendRefusal(int bytes, boolean storageFull) {
        if (mTransfer != null) {
            return Optional.of(Reason.TRANSFER_IN_PROGRESS);
        }
        if (storageFull) {
            return Optional.of(Reason.DISK_FULL);
        }
        if (bytes > mReplica.settings().maxProposalBytes()) {
            return Optional.of(Reason.PROPOSAL_TOO_LARGE);
        }
        boolean overloaded = mUncommittedBytes + bytes > mReplica.settings().maxBacklogBytes();
        return overloaded ? Optional.of(Reason.OVERLOADED) : Optional.empty();
    }

    private Optional<Reason> logRefusal(int bytes) {
        long logBytes = mReplica.log().size().bytes() + bytes;
        return logBytes > mReplica.settings().maxLogBytes()
                ? Optional.of(Reason.OVERLOADED)
                : Optional.empty();
    }

    private Optional<Reason> membershipChangeRefusal() {
        if (!mReplica.settings().isEnabled(RaftRule.ONE_CHANGE_AT_A_TIME)) {
            return Optional.empty();
        }
        if (!mLeader.hasCommittedInTerm()) {
            return Optional.of(Reason.LEADER_NOT_READY);
        }
        return mReplica.log().membershipIndex() > mReplica.commitIndex()
                ? Optional.of(Reason.CHANGE_IN_PROGRESS)
                : Optional.empty();
    }

    private Either<RaftFailure, Membership> planChange(MembershipChange change, long nowNanos) {
        Membership current = mReplica.log().membership();
        Either<RaftFailure, Membership> planned =
                switch (change) {
                    case MembershipChange.AddLearner add ->
                            current.byName(add.member().name()).isPresent()
                                    ? refused(Reason.ALREADY_MEMBER)
                                    : Either.right(withLearner(add.member(), add.address()));
                    case MembershipChange.Replace replace -> planReplace(replace);
                    case MembershipChange.Remove remove -> planRemove(remove.name());
                    case MembershipChange.Promote promote -> planPromote(promote.member());
                };
        boolean changesVoters =
                planned.exists(membership -> !membership.voters().equals(current.voters()));
        if (changesVoters && !mLeader.isQuorumReachable(planned.get(), nowNanos)) {
            return refused(Reason.QUORUM_AT_RISK);
        }
        return planned;
    }

    private Membership withLearner(MemberId member, String address) {
        return mReplica.log().membership().with(new Member(member, MemberRole.LEARNER, address));
    }

    private Either<RaftFailure, Membership> planReplace(MembershipChange.Replace replace) {
        Optional<Member> old = mReplica.log().membership().byName(replace.member().name());
        if (old.isEmpty() || old.get().id().equals(replace.member())) {
            return refused(Reason.UNSUITABLE_MEMBER);
        }
        return old.get().id().equals(mReplica.self())
                ? refused(Reason.LEADER_NOT_REMOVABLE)
                : Either.right(withLearner(replace.member(), replace.address()));
    }

    private Either<RaftFailure, Membership> planRemove(String name) {
        Membership current = mReplica.log().membership();
        if (current.byName(name).isEmpty()) {
            return refused(Reason.UNSUITABLE_MEMBER);
        }
        return name.equals(mReplica.self().name())
                ? refused(Reason.LEADER_NOT_REMOVABLE)
                : Either.right(current.without(name));
    }

    private Either<RaftFailure, Membership> planPromote(MemberId id) {
        Membership current = mReplica.log().membership();
        Optional<Member> member = current.find(id).filter(found -> !found.isVoter());
        Progress progress = mLeader.progress(id);
        if (member.isEmpty() || progress == null) {
            return refused(Reason.UNSUITABLE_MEMBER);
        }
        if (id.isVolatile()) {
            return refused(Reason.VOLATILE_STORE);
        }
        long requiredIndex = mReplica.commitIndex();
        boolean caughtUp = progress.matchIndex() >= requiredIndex;
        if (!caughtUp && mReplica.settings().isEnabled(RaftRule.PROMOTE_CAUGHT_UP)) {
            return Either.left(
                    new RaftFailure.NotCaughtUp(id, progress.matchIndex(), requiredIndex));
        }
        return Either.right(current.with(new Member(id, MemberRole.VOTER, member.get().address())));
    }

    private static Either<RaftFailure, Membership> refused(Reason reason) {
        return Either.left(new RaftFailure.Refused(reason));
    }

    private void sendTimeoutNowIfCaughtUp() {
        PendingTransfer transfer = mTransfer;
        if (transfer == null || transfer.timeoutNowSent()) {
            return;
        }
        Progress progress = mLeader.progress(transfer.target());
        if (progress == null || progress.matchIndex() < mReplica.log().lastIndex()) {
            return;
        }
        mTransfer =
                new PendingTransfer(
                        transfer.requestId(), transfer.target(), transfer.deadlineNanos(), true);
        mReplica.outbox().send(mReplica.message(transfer.target(), new MessageBody.TimeoutNow()));
    }
}
