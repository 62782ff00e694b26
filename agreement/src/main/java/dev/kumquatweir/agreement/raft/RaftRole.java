package dev.kumquatweir.agreement.raft;

/** Role of a replica in its current term. */
public enum RaftRole {
    /** Accepts entries from a leader or waits for one; the only role of learners. */
    FOLLOWER,
    /** Runs a pre-vote, without incrementing the term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Replicates its log to the group in its term. */
    LEADER
}
