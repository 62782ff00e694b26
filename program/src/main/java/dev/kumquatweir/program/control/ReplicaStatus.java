package dev.kumquatweir.program.control;

/**
 * Raft status of an instance's replica. Immutable.
 *
 * @param leading whether it is the leader of the group
 * @param term its term; 0 for an instance without a replica
 * @param commitIndex index of the last log entry known to be committed
 */
public record ReplicaStatus(boolean leading, long term, long commitIndex) {
    /** Status of an instance without a replica. */
    public static final ReplicaStatus NONE = new ReplicaStatus(false, 0, 0);
}
