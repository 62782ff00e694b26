package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.core.bytes.Bytes;

/** An input of a {@link RaftNode}. The caller assigns request ids from 1 and never reuses them. */
public sealed interface RaftInput {
    /** Advances time; required at least every 20 ms. */
    record Tick() implements RaftInput {}

    /**
     * A message from a peer arrived.
     *
     * @param message the message
     */
    record Receive(RaftMessage message) implements RaftInput {}

    /**
     * Storage batches are synced.
     *
     * @param completion the last synced batch
     */
    record StorageSynced(StorageCompletion completion) implements RaftInput {}

    /**
     * The log store ran out of space, or has space again.
     *
     * @param full whether the log store currently refuses writes
     */
    record StorageFull(boolean full) implements RaftInput {}

    /**
     * Appends a command. Ends with {@link RaftOutput.Apply} or {@link RaftOutput.RequestFailed}.
     *
     * @param requestId id for the completion
     * @param command the command
     */
    record Propose(long requestId, Bytes command) implements RaftInput {}

    /**
     * Requests the index that must be applied for a linearizable read. Ends with {@link
     * RaftOutput.ReadReady} or {@link RaftOutput.RequestFailed}.
     *
     * @param requestId id for the completion
     */
    record ReadIndex(long requestId) implements RaftInput {}

    /**
     * Changes the membership. Ends with {@link RaftOutput.Apply} or {@link
     * RaftOutput.RequestFailed}.
     *
     * @param requestId id for the completion
     * @param change the change
     */
    record ChangeMembership(long requestId, MembershipChange change) implements RaftInput {}

    /**
     * Transfers leadership to a voter. Ends with {@link RaftOutput.LeadershipTransferred} or {@link
     * RaftOutput.RequestFailed}.
     *
     * @param requestId id for the completion
     * @param target name of the voter
     */
    record TransferLeadership(long requestId, String target) implements RaftInput {}

    /**
     * Answers {@link RaftOutput.TakeSnapshot}; may come later than other inputs.
     *
     * @param index last entry that the state covers
     * @param data the state
     */
    record SnapshotTaken(long index, Bytes data) implements RaftInput {}
}
