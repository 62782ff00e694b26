package dev.kumquatweir.agreement.raft;

/**
 * Protocol rules that tests disable one by one to show that they detect the missing rule. All rules
 * are enabled in production.
 */
enum RaftRule {
    /** A replica acknowledges entries only after they are synced. */
    SYNC_BEFORE_ACKNOWLEDGE,
    /** A granted vote is sent only after it is synced. */
    SYNC_BEFORE_VOTE,
    /** Voters deny votes within the minimum election timeout after leader contact. */
    STICKY_VOTERS,
    /** A restarted voter denies votes for the minimum election timeout. */
    QUIET_AFTER_RESTART,
    /** A pre-vote precedes each increment of the term on an election timeout. */
    PRE_VOTE,
    /** A leader advances the commit index only to entries of its own term. */
    COMMIT_IN_OWN_TERM,
    /** A vote is granted only to a candidate whose log is at least as up-to-date. */
    UP_TO_DATE_CANDIDATE,
    /** Votes and acknowledgements count only if their store id matches the membership. */
    STORE_ID_COUNTS,
    /** A leader without contact to a quorum steps down. */
    CHECK_QUORUM,
    /** One membership change at a time, and only after a commit in the leader's own term. */
    ONE_CHANGE_AT_A_TIME,
    /** Learners are promoted only after they have caught up and synced. */
    PROMOTE_CAUGHT_UP,
    /** The leader lease ends when TimeoutNow is sent in a leadership transfer. */
    NO_LEASE_IN_TRANSFER
}
