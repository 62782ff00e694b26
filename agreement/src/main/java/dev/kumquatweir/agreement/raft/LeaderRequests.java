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

/** Proposals, reads, membership changes and transfers of one leadership. One thread. */
final class LeaderRequests {
    private static final int LARGEST_READ_QUEUE = 10_000;

    private final Replica mReplica;
    private final Leader mLeader;
    private final TreeMap<Long, Pending> mProposals = new TreeMap<>();
    private final List<PendingRead> mReads = new ArrayList<>();
    private long mPendingBytes;
    private @Nullable PendingTransfer mTransfer;

    LeaderRequests(Replica replica, Leader leader) {
        mReplica = replica;
        mLeader = leader;
    }

    private record Pending(long requestId, int bytes) {}

    private record PendingRead(long requestId, long index, long stamp) {}

    private record PendingTransfer(
            long requestId, MemberId target, long deadlineNanos, boolean sent) {}

    void propose(RaftInput.Propose proposal, boolean storageFull, long nowNanos) {
        int bytes = proposal.command().size();
        Optional<Reason> refusal = refusal(bytes, storageFull);
        if (refusal.isPresent()) {
            fail(proposal.requestId(), new RaftFailure.Refused(refusal.get()));
            return;
        }
        remember(proposal.requestId(), bytes);
        mLeader.append(EntryKind.COMMAND, proposal.command(), nowNanos);
    }

    void read(long requestId, long nowNanos) {
        if (!mLeader.hasCommittedInTerm()) {
            fail(requestId, new RaftFailure.Refused(Reason.LEADER_NOT_READY));
        } else if (mLeader.leaseNanos(nowNanos) > 0) {
            mReplica.outbox().add(new RaftOutput.ReadReady(requestId, mReplica.commitIndex()));
        } else if (mReads.size() >= LARGEST_READ_QUEUE) {
            fail(requestId, new RaftFailure.Refused(Reason.OVERLOADED));
        } else {
            long stamp = mLeader.nextStamp(nowNanos);
            mReads.add(new PendingRead(requestId, mReplica.commitIndex(), stamp));
            mLeader.confirm(nowNanos);
        }
    }

    void change(RaftInput.ChangeMembership request, boolean storageFull, long nowNanos) {
        Optional<Reason> refusal = refusal(0, storageFull).or(this::unsettledMembership);
        Either<RaftFailure, Membership> planned =
                refusal.isPresent()
                        ? Either.left(new RaftFailure.Refused(refusal.get()))
                        : plan(request.change(), nowNanos);
        if (planned.isLeft()) {
            fail(request.requestId(), planned.getLeft());
            return;
        }
        var payload = MembershipCodec.encode(planned.get());
        remember(request.requestId(), payload.size());
        mLeader.append(EntryKind.MEMBERSHIP, payload, nowNanos);
        mLeader.advanceCommit(nowNanos);
    }

    void transfer(RaftInput.TransferLeadership request, long nowNanos) {
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
            long deadline = nowNanos + mReplica.settings().maxElectionTimeoutNanos();
            mTransfer = new PendingTransfer(request.requestId(), target.get(), deadline, false);
            continueTransfer();
        }
    }

    /** Returns whether the target of a transfer was asked to take over in this term. */
    boolean handedOver() {
        return mTransfer != null && mTransfer.sent();
    }

    /** Returns the request that appended an entry, 0 if there is none, and forgets it. */
    long take(long index) {
        Pending pending = mProposals.remove(index);
        if (pending == null) {
            return 0;
        }
        mPendingBytes -= pending.bytes();
        return pending.requestId();
    }

    /** Completes what an acknowledgement or a commit allows. */
    void onAcknowledged(long nowNanos) {
        long age = mLeader.acknowledgedAge(nowNanos);
        while (!mReads.isEmpty() && age <= nowNanos - mReads.getFirst().stamp()) {
            PendingRead read = mReads.removeFirst();
            mReplica.outbox().add(new RaftOutput.ReadReady(read.requestId(), read.index()));
        }
        continueTransfer();
    }

    /** Checks the transfer's time; returns false if leadership ended. */
    boolean tick(long nowNanos) {
        PendingTransfer transfer = mTransfer;
        if (transfer == null || nowNanos - transfer.deadlineNanos() < 0) {
            return true;
        }
        if (transfer.sent()) {
            // The target may still win with its delayed vote requests, which sticky voters grant.
            // Only a new term gives a leader lease again.
            mReplica.becomeFollower(mLeader.term(), nowNanos);
            return false;
        }
        mTransfer = null;
        fail(transfer.requestId(), new RaftFailure.Refused(Reason.TRANSFER_FAILED));
        return true;
    }

    /** Fails everything that is outstanding. */
    void end() {
        mProposals
                .values()
                .forEach(pending -> fail(pending.requestId(), new RaftFailure.OutcomeUncertain()));
        var notLeader = new RaftFailure.NotLeader(mReplica.leaderId());
        mReads.forEach(read -> fail(read.requestId(), notLeader));
        PendingTransfer transfer = mTransfer;
        if (transfer == null) {
            return;
        }
        if (transfer.sent() && mReplica.term() > mLeader.term()) {
            mReplica.outbox().add(new RaftOutput.LeadershipTransferred(transfer.requestId()));
        } else {
            fail(transfer.requestId(), new RaftFailure.Refused(Reason.TRANSFER_FAILED));
        }
    }

    private void remember(long requestId, int bytes) {
        mProposals.put(mReplica.log().lastIndex() + 1, new Pending(requestId, bytes));
        mPendingBytes += bytes;
    }

    private void fail(long requestId, RaftFailure failure) {
        mReplica.outbox().add(new RaftOutput.RequestFailed(requestId, failure));
    }

    private Optional<Reason> refusal(int bytes, boolean storageFull) {
        if (mTransfer != null) {
            return Optional.of(Reason.TRANSFER_IN_PROGRESS);
        }
        if (storageFull) {
            return Optional.of(Reason.DISK_FULL);
        }
        if (bytes > mReplica.settings().maxProposalBytes()) {
            return Optional.of(Reason.PROPOSAL_TOO_LARGE);
        }
        boolean overloaded = mPendingBytes + bytes > mReplica.settings().maxBacklogBytes();
        return overloaded ? Optional.of(Reason.OVERLOADED) : Optional.empty();
    }

    private Optional<Reason> unsettledMembership() {
        if (!mReplica.settings().has(RaftRule.ONE_CHANGE_AT_A_TIME)) {
            return Optional.empty();
        }
        if (!mLeader.hasCommittedInTerm()) {
            return Optional.of(Reason.LEADER_NOT_READY);
        }
        return mReplica.log().membershipIndex() > mReplica.commitIndex()
                ? Optional.of(Reason.CHANGE_IN_PROGRESS)
                : Optional.empty();
    }

    private Either<RaftFailure, Membership> plan(MembershipChange change, long nowNanos) {
        Membership present = mReplica.log().membership();
        Either<RaftFailure, Membership> planned =
                switch (change) {
                    case MembershipChange.AddLearner add ->
                            present.byName(add.member().name()).isPresent()
                                    ? refused(Reason.ALREADY_MEMBER)
                                    : Either.right(withLearner(add.member(), add.address()));
                    case MembershipChange.Replace replace -> planReplace(replace);
                    case MembershipChange.Remove remove -> planRemove(remove.name());
                    case MembershipChange.Promote promote -> planPromote(promote.member());
                };
        boolean changesVoters =
                planned.exists(membership -> !membership.voters().equals(present.voters()));
        if (changesVoters && !mLeader.quorumReachable(planned.get(), nowNanos)) {
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
        Membership present = mReplica.log().membership();
        if (present.byName(name).isEmpty()) {
            return refused(Reason.UNSUITABLE_MEMBER);
        }
        return name.equals(mReplica.self().name())
                ? refused(Reason.LEADER_NOT_REMOVABLE)
                : Either.right(present.without(name));
    }

    private Either<RaftFailure, Membership> planPromote(MemberId id) {
        Membership present = mReplica.log().membership();
        Optional<Member> member = present.find(id).filter(found -> !found.isVoter());
        Progress progress = mLeader.progress(id);
        if (member.isEmpty() || progress == null) {
            return refused(Reason.UNSUITABLE_MEMBER);
        }
        if (id.isVolatile()) {
            return refused(Reason.VOLATILE_STORE);
        }
        long needed = mReplica.commitIndex();
        boolean caughtUp = progress.matchIndex() >= needed;
        if (!caughtUp && mReplica.settings().has(RaftRule.PROMOTE_CAUGHT_UP)) {
            return Either.left(new RaftFailure.NotCaughtUp(id, progress.matchIndex(), needed));
        }
        return Either.right(present.with(new Member(id, MemberRole.VOTER, member.get().address())));
    }

    private static Either<RaftFailure, Membership> refused(Reason reason) {
        return Either.left(new RaftFailure.Refused(reason));
    }

    private void continueTransfer() {
        PendingTransfer transfer = mTransfer;
        if (transfer == null || transfer.sent()) {
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
