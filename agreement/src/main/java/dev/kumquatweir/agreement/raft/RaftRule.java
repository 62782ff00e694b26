package dev.kumquatweir.agreement.raft;

/**
 * Rules that tests switch off one by one to show that they notice. Production code always has all.
 */
enum RaftRule {
    /** Own durability is reported only after the storage completion. */
    SYNC_BEFORE_ACKNOWLEDGE,
    /** A granted vote leaves only after the storage completion. */
    SYNC_BEFORE_VOTE,
    /** Voters that heard from a leader lately refuse to vote. */
    STICKY_VOTERS,
    /** A restarted voter refuses to vote for the minimum election timeout. */
    QUIET_AFTER_RESTART,
    /** Candidates ask for pre-votes before they start a term. */
    PRE_VOTE,
    /** A leader commits only by entries of its own term. */
    COMMIT_IN_OWN_TERM,
    /** A vote is granted only to a candidate whose log is at least as new. */
    UP_TO_DATE_CANDIDATE,
    /** Votes and acknowledgements count only with the store id of the membership. */
    STORE_ID_COUNTS,
    /** A leader without contact to a quorum steps down. */
    CHECK_QUORUM,
    /** One membership change at a time, and only after a commit in the leader's own term. */
    ONE_CHANGE_AT_A_TIME,
    /** Learners are promoted only after they have caught up and synced. */
    PROMOTE_CAUGHT_UP,
    /** The leader lease ends when leadership is handed over. */
    NO_LEASE_IN_TRANSFER
}
