package dev.kumquatweir.program.control;

/**
 * How far the replica of an instance is. Immutable.
 *
 * @param leading whether it leads the group
 * @param term its term; 0 for an instance without a replica
 * @param commitIndex index of the last log entry that it knows as committed
 */
public record ReplicaStatus(boolean leading, long term, long commitIndex) {
    /** Status of an instance without a replica. */
    public static final ReplicaStatus NONE = new ReplicaStatus(false, 0, 0);
}
