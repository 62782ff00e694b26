package dev.kumquatweir.agreement.raft;

/** Part of a replica in its present term. */
public enum RaftRole {
    /** Follows a leader or waits for one; learners always do. */
    FOLLOWER,
    /** Asks whether an election could succeed, without a new term. */
    PRE_CANDIDATE,
    /** Asks for votes in a new term. */
    CANDIDATE,
    /** Leads the group in its term. */
    LEADER
}
