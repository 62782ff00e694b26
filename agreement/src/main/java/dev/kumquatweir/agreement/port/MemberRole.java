package dev.kumquatweir.agreement.port;

/** Part of a member in the group. */
public enum MemberRole {
    /** Votes and counts for the quorum. */
    VOTER,
    /** Receives the log, never votes and never counts. */
    LEARNER
}
