package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.settings.PeerSettings;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether an instance with an empty store bootstraps the Raft group, joins an existing one
 * or waits. The initial voters have random store ids, so they must exchange them before the group
 * can start. Performs no I/O.
 *
 * <p>Only the first voter by name that doesn't merely join creates the group, and only after every
 * other configured voter has reported an empty store. A voter that ended in its first start comes
 * back as one that joins, so that the next one by name takes its turn. A voter that lost its disk
 * therefore can't create a second group while its peers still belong to the first one.
 */
final class GroupBootstrap {
    private final MemberId mSelf;
    private final List<PeerSettings> mVoters;

    /**
     * @param self identity of this replica
     * @param voters configured voters, including this instance
     */
    GroupBootstrap(MemberId self, List<PeerSettings> voters) {
        mSelf = self;
        mVoters = List.copyOf(voters);
    }

    /** Decision how the instance takes part in the group. */
    sealed interface Decision {
        /**
         * Start with the initial state of the group.
         *
         * @param snapshot snapshot with the initial membership
         */
        record Bootstrap(SnapshotImage snapshot) implements Decision {}

        /**
         * The group already exists: start empty and wait to be added, by an operator or on the own
         * request of {@link GroupControl}.
         */
        record Join() implements Decision {}

        /** The reports don't suffice yet: request them again. */
        record Wait() implements Decision {}
    }

    /**
     * Report of an instance about its store.
     *
     * @param member identity of its replica
     * @param empty whether the store has never held a vote, a log entry or a snapshot
     * @param joining whether the instance only joins: it doesn't create a group, since it was
     *     started again before there was one, or its disk was lost
     * @param initialMembership initial members of the group, empty unless the store's snapshot is
     *     still the initial one
     */
    record StoreReport(
            MemberId member, boolean empty, boolean joining, Membership initialMembership) {
        static StoreReport of(MemberId member, StoredState stored, boolean mayBootstrap) {
            boolean empty = stored.snapshot().isEmpty() && stored.entries().isEmpty();
            Membership initialMembership =
                    stored.snapshot()
                            .filter(snapshot -> snapshot.index() == 1)
                            .map(SnapshotImage::membership)
                            .orElse(Membership.EMPTY);
            boolean unused = empty && !tookPart(stored.hardState());
            return new StoreReport(member, unused, unused && !mayBootstrap, initialMembership);
        }

        /**
         * Returns whether the replica took part in an election. The first election of a group has a
         * term above that of its initial snapshot, so that term without a vote is what a write of
         * the initial snapshot leaves that was interrupted after the hard state.
         */
        private static boolean tookPart(HardState state) {
            return state.term() > SnapshotImage.FOUNDING_TERM || !state.votedFor().isEmpty();
        }
    }

    /**
     * Decides how to proceed.
     *
     * @param reports latest report of each other instance since this process started
     */
    Decision decide(Map<InstanceId, StoreReport> reports) {
        Optional<Membership> initialMembership =
                reports.values().stream()
                        .map(StoreReport::initialMembership)
                        .filter(membership -> membership.isVoter(mSelf))
                        .findFirst();
        if (initialMembership.isPresent()) {
            return new Decision.Bootstrap(SnapshotImage.founding(initialMembership.get()));
        }
        if (reports.values().stream().anyMatch(report -> !report.empty())) {
            return new Decision.Join();
        }
        boolean bootstrapsGroup =
                mVoters.stream()
                        .map(PeerSettings::id)
                        .filter(id -> !isJoining(reports.get(id)))
                        .findFirst()
                        .filter(id -> id.value().equals(mSelf.name()))
                        .isPresent();
        boolean allReported =
                mVoters.stream()
                        .map(PeerSettings::id)
                        .filter(id -> !id.value().equals(mSelf.name()))
                        .allMatch(reports::containsKey);
        return bootstrapsGroup && allReported
                ? new Decision.Bootstrap(SnapshotImage.founding(initialMembership(reports)))
                : new Decision.Wait();
    }

    private static boolean isJoining(@Nullable StoreReport report) {
        return report != null && report.joining();
    }

    private Membership initialMembership(Map<InstanceId, StoreReport> reports) {
        return new Membership(
                mVoters.stream()
                        .map(
                                voter -> {
                                    StoreReport report = reports.get(voter.id());
                                    MemberId id = report == null ? mSelf : report.member();
                                    return new Member(
                                            id,
                                            MemberRole.VOTER,
                                            Addresses.format(voter.address()));
                                })
                        .toList());
    }
}
