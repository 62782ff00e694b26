package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.MemberId;

/** A change of one member. */
public sealed interface MembershipChange {
    /**
     * Adds an instance that is no member yet, as a learner.
     *
     * @param member identity of the new replica
     * @param address where it is reached
     */
    record AddLearner(MemberId member, String address) implements MembershipChange {}

    /**
     * Makes a learner a voter once it has caught up and synced.
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
     * @param address where it is reached
     */
    record Replace(MemberId member, String address) implements MembershipChange {}
}
