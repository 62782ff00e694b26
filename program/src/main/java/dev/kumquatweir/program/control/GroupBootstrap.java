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

/**
 * Decides how an instance with an empty store takes part in its group. The store ids of the first
 * voters are random, so they have to be told to each other before the group can begin. Pure.
 *
 * <p>Only one instance, the first voter by name, founds the group, and only after each other voter
 * of the settings has answered with an empty store. So a voter that lost its disk can't found a
 * second group beside the one that its peers remember.
 */
final class GroupBootstrap {
    private final MemberId mSelf;
    private final List<PeerSettings> mVoters;

    /**
     * @param self identity of this replica
     * @param voters voters of the settings, this instance included
     */
    GroupBootstrap(MemberId self, List<PeerSettings> voters) {
        mSelf = self;
        mVoters = List.copyOf(voters);
    }

    /** How the instance takes part. */
    sealed interface Decision {
        /**
         * Begin with the group's first state.
         *
         * @param snapshot the snapshot that founds the group
         */
        record Bootstrap(SnapshotImage snapshot) implements Decision {}

        /** The group goes on elsewhere: begin empty and wait to be added by an operator. */
        record Join() implements Decision {}

        /** Ask the others again. */
        record Wait() implements Decision {}
    }

    /**
     * What an instance tells of its store.
     *
     * @param member identity of its replica
     * @param empty whether the store has never held anything
     * @param initialMembership first members of the group, as long as the store still knows them
     */
    record StoreReport(MemberId member, boolean empty, Membership initialMembership) {
        static StoreReport of(MemberId member, StoredState stored) {
            boolean empty = stored.snapshot().isEmpty() && stored.entries().isEmpty();
            Membership initialMembership =
                    stored.snapshot()
                            .filter(snapshot -> snapshot.index() == 1)
                            .map(SnapshotImage::membership)
                            .orElse(Membership.EMPTY);
            boolean voted = !stored.hardState().equals(HardState.INITIAL);
            return new StoreReport(member, empty && !voted, initialMembership);
        }
    }

    /**
     * Decides.
     *
     * @param reports latest answer of each other instance since this process started
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
        boolean bootstrapsGroup = mVoters.get(0).id().value().equals(mSelf.name());
        boolean allReported =
                mVoters.stream()
                        .map(PeerSettings::id)
                        .filter(id -> !id.value().equals(mSelf.name()))
                        .allMatch(reports::containsKey);
        return bootstrapsGroup && allReported
                ? new Decision.Bootstrap(SnapshotImage.founding(initialMembership(reports)))
                : new Decision.Wait();
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
