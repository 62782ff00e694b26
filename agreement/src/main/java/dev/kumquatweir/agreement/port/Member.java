package dev.kumquatweir.agreement.port;

/**
 * One member of the group. Immutable.
 *
 * @param id identity of the replica
 * @param role whether it votes
 * @param address where its peers reach it, as "ip:port"; opaque to the agreement core
 */
public record Member(MemberId id, MemberRole role, String address) {
    /** Returns whether this member votes. */
    public boolean isVoter() {
        return role == MemberRole.VOTER;
    }
}
