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
final class Founding {
    private final MemberId mSelf;
    private final List<PeerSettings> mVoters;

    /**
     * @param self identity of this replica
     * @param voters voters of the settings, this instance included
     */
    Founding(MemberId self, List<PeerSettings> voters) {
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
        record Found(SnapshotImage snapshot) implements Decision {}

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
     * @param founders first members of the group, as long as the store still knows them
     */
    record Answer(MemberId member, boolean empty, Membership founders) {
        static Answer of(MemberId member, StoredState stored) {
            boolean empty = stored.snapshot().isEmpty() && stored.entries().isEmpty();
            Membership founders =
                    stored.snapshot()
                            .filter(snapshot -> snapshot.index() == 1)
                            .map(SnapshotImage::membership)
                            .orElse(Membership.EMPTY);
            boolean voted = !stored.hardState().equals(HardState.INITIAL);
            return new Answer(member, empty && !voted, founders);
        }
    }

    /**
     * Decides.
     *
     * @param answers latest answer of each other instance since this process started
     */
    Decision decide(Map<InstanceId, Answer> answers) {
        Optional<Membership> founders =
                answers.values().stream()
                        .map(Answer::founders)
                        .filter(membership -> membership.isVoter(mSelf))
                        .findFirst();
        if (founders.isPresent()) {
            return new Decision.Found(SnapshotImage.founding(founders.get()));
        }
        if (answers.values().stream().anyMatch(answer -> !answer.empty())) {
            return new Decision.Join();
        }
        boolean founder = mVoters.get(0).id().value().equals(mSelf.name());
        boolean allAnswered =
                mVoters.stream()
                        .map(PeerSettings::id)
                        .filter(id -> !id.value().equals(mSelf.name()))
                        .allMatch(answers::containsKey);
        return founder && allAnswered
                ? new Decision.Found(SnapshotImage.founding(firstMembers(answers)))
                : new Decision.Wait();
    }

    private Membership firstMembers(Map<InstanceId, Answer> answers) {
        return new Membership(
                mVoters.stream()
                        .map(
                                voter -> {
                                    Answer answer = answers.get(voter.id());
                                    MemberId id = answer == null ? mSelf : answer.member();
                                    return new Member(
                                            id, MemberRole.VOTER, Addresses.text(voter.address()));
                                })
                        .toList());
    }
}
