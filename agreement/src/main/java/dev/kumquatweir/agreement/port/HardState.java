package dev.kumquatweir.agreement.port;

/**
 * What a replica must not forget across a restart besides its log. Immutable.
 *
 * @param term newest term the replica has seen
 * @param votedFor store id of the candidate it voted for in that term, empty for none
 */
public record HardState(long term, String votedFor) {
    /** State of a replica that has never taken part. */
    public static final HardState INITIAL = new HardState(0, "");
}
