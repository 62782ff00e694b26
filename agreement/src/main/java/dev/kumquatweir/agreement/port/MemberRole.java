package dev.kumquatweir.agreement.port;

/** Role of a member in the Raft group. */
public enum MemberRole {
    /** Votes and counts towards the quorum. */
    VOTER,
    /** Receives the log, but neither votes nor counts towards the quorum. */
    LEARNER
}
