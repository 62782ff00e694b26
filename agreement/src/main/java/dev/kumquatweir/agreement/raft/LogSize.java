package dev.kumquatweir.agreement.raft;

/**
 * What the log of a replica takes in memory. Immutable.
 *
 * @param entries number of entries
 * @param bytes payloads of the entries and the objects that hold them
 */
public record LogSize(long entries, long bytes) {
    /** Size of an empty log. */
    public static final LogSize NONE = new LogSize(0, 0);
}
