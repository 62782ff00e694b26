package dev.kumquatweir.agreement.port;

import dev.kumquatweir.core.bytes.Bytes;

/**
 * State of the replicated state machine after applying the log up to an index. Immutable.
 *
 * @param index index of the last entry it covers
 * @param term term of that entry
 * @param membership membership as of that entry
 * @param data state, opaque to the log store; empty means the initial state
 */
public record SnapshotImage(long index, long term, Membership membership, Bytes data) {
    /**
     * Returns the snapshot that founds a group. Each founding member stores the same one.
     *
     * @param membership first members
     */
    public static SnapshotImage founding(Membership membership) {
        return new SnapshotImage(1, 1, membership, Bytes.EMPTY);
    }
}
