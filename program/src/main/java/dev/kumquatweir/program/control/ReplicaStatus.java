package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.raft.LogSize;

/**
 * Raft status of an instance's replica. Immutable.
 *
 * @param leading whether it is the leader of the group
 * @param term its term; 0 for an instance without a replica
 * @param commitIndex index of the last log entry known to be committed
 * @param logSize what its log takes in memory
 */
public record ReplicaStatus(boolean leading, long term, long commitIndex, LogSize logSize) {
    /** Status of an instance without a replica. */
    public static final ReplicaStatus NONE = new ReplicaStatus(false, 0, 0, LogSize.NONE);
}
