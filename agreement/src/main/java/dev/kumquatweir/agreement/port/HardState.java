package dev.kumquatweir.agreement.port;

/**
 * Raft state, besides the log, that a replica must persist across restarts. Immutable.
 *
 * @param term highest term that the replica has seen
 * @param votedFor store id of the candidate it voted for in that term, empty for none
 */
public record HardState(long term, String votedFor) {
    /** State of a replica that has not seen any term. */
    public static final HardState INITIAL = new HardState(0, "");
}
