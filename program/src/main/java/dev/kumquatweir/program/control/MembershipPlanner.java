package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.agreement.raft.RaftNode;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides the next membership change that brings the group to its target number of voters. Handles
 * machines that are replaced by empty ones at other addresses: a voter without contact is removed
 * only when a caught-up learner can take its place or has already taken it, so lost contact alone
 * never shrinks the group. Performs no I/O.
 */
final class MembershipPlanner {
    /**
     * Longer than the time after which a leader without a quorum steps down, so that a leader that
     * was itself delayed removes nobody. A machine that stops when its successor is 2 s old has to
     * be replaced within 2 s, since the loss of two further disks must be survived from then on.
     */
    private static final long SILENT_VOTER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long LEARNER_MAX_CONTACT_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SILENT_LEARNER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private MembershipPlanner() {}

    /** Returns the next change, empty if none is due. Must be called on the leader only. */
    static Optional<MembershipChange> nextChange(RaftNode node, int voterTarget, long nowNanos) {
        Membership membership = node.membership();
        Optional<MemberId> candidate =
                membership.members().stream()
                        .filter(member -> !member.isVoter())
                        .map(Member::id)
                        .filter(
                                member ->
                                        contactAgeNanos(node, member, nowNanos)
                                                < LEARNER_MAX_CONTACT_AGE_NANOS)
                        .filter(node::isCaughtUp)
                        .findFirst();
        if (candidate.isPresent() && membership.voters().size() < voterTarget) {
            return Optional.of(new MembershipChange.Promote(candidate.get()));
        }
        // A voter that left after its successor was promoted, but before it was removed, is
        // surplus.
        boolean surplus = membership.voters().size() > voterTarget;
        if (surplus || candidate.isPresent()) {
            return membership.voters().stream()
                    .filter(voter -> !voter.equals(node.self()))
                    .filter(
                            voter ->
                                    contactAgeNanos(node, voter, nowNanos)
                                            > SILENT_VOTER_TIMEOUT_NANOS)
                    .max(Comparator.comparing(voter -> contactAgeNanos(node, voter, nowNanos)))
                    .map(voter -> new MembershipChange.Remove(voter.name()));
        }
        return membership.members().stream()
                .filter(member -> !member.isVoter())
                .filter(
                        member ->
                                contactAgeNanos(node, member.id(), nowNanos)
                                        > SILENT_LEARNER_TIMEOUT_NANOS)
                .findFirst()
                .map(member -> new MembershipChange.Remove(member.id().name()));
    }

    private static long contactAgeNanos(RaftNode node, MemberId member, long nowNanos) {
        return node.contactAgeNanos(member, nowNanos).orElse(0);
    }
}
