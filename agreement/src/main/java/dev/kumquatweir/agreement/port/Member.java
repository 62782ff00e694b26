package dev.kumquatweir.agreement.port;

/**
 * Member of the Raft group. Immutable.
 *
 * @param id identity of the replica
 * @param role whether it is a voter or a learner
 * @param address address for its peers, as "ip:port"; opaque to the Raft core
 */
public record Member(MemberId id, MemberRole role, String address) {
    /** Returns whether this member votes. */
    public boolean isVoter() {
        return role == MemberRole.VOTER;
    }
}
