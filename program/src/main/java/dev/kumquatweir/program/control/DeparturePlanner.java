package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.raft.MembershipChange;

/**
 * Decides how a voter that stops for good or for a restart hands its place to a learner. The
 * learner is promoted first and the voter removed while it still runs, so that the group never
 * counts on a voter that has gone. Performs no I/O.
 */
final class DeparturePlanner {
    private DeparturePlanner() {}

    /** Next step of a voter that stops. */
    sealed interface Step {
        /**
         * Request a change of the members and read them again afterwards.
         *
         * @param change the change
         */
        record Request(MembershipChange change) implements Step {}

        /** Stop: this member is no voter any more, or nobody can take its place. */
        record Stop() implements Step {}
    }

    /**
     * Returns the next step.
     *
     * @param membership members as the leader knows them
     * @param self the member that stops
     * @param voterTarget number of voters that the group keeps
     */
    static Step nextStep(Membership membership, MemberId self, int voterTarget) {
        if (!membership.isVoter(self)) {
            return new Step.Stop();
        }
        if (membership.voters().size() > voterTarget) {
            return new Step.Request(new MembershipChange.Remove(self.name()));
        }
        return membership.members().stream()
                .filter(member -> !member.isVoter())
                .map(Member::id)
                .findFirst()
                .<Step>map(learner -> new Step.Request(new MembershipChange.Promote(learner)))
                .orElseGet(Step.Stop::new);
    }
}
