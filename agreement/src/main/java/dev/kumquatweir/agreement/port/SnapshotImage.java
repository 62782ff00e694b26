package dev.kumquatweir.agreement.port;

import dev.kumquatweir.core.bytes.Bytes;

/**
 * Raft snapshot: state of the replicated state machine after applying the log up to an index.
 * Immutable.
 *
 * @param index index of the last log entry that the snapshot covers
 * @param term term of that entry
 * @param membership membership as of that entry
 * @param data encoded state, opaque to the log store; empty for the initial state
 */
public record SnapshotImage(long index, long term, Membership membership, Bytes data) {
    /** Term of the snapshot that bootstraps a group; the terms of its elections are higher. */
    public static final long FOUNDING_TERM = 1;

    /**
     * Returns the snapshot that bootstraps a group. Each initial member stores the same one.
     *
     * @param membership initial members
     */
    public static SnapshotImage founding(Membership membership) {
        return new SnapshotImage(1, FOUNDING_TERM, membership, Bytes.EMPTY);
    }
}
