package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;

/** A change of a single member of the group. */
public sealed interface MembershipChange {
    /**
     * Adds an instance that is not yet a member, as a learner.
     *
     * @param member identity of the new replica
     * @param address network address of the replica
     */
    record AddLearner(MemberId member, String address) implements MembershipChange {}

    /**
     * Promotes a learner to a voter; rejected unless it has synced all committed entries.
     *
     * @param member identity of the learner
     */
    record Promote(MemberId member) implements MembershipChange {}

    /**
     * Removes a member.
     *
     * @param name name of the member
     */
    record Remove(String name) implements MembershipChange {}

    /**
     * Replaces a member whose disk was lost by a learner of the same name with a new store id.
     *
     * @param member new identity
     * @param address network address of the replica
     */
    record Replace(MemberId member, String address) implements MembershipChange {}
}
