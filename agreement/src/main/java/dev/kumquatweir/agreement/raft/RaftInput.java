package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.core.bytes.Bytes;

/** What a {@link RaftNode} reacts to. Request ids are chosen by the caller, from 1, not reused. */
public sealed interface RaftInput {
    /** Time has passed. Due at least every 20 ms. */
    record Tick() implements RaftInput {}

    /**
     * A message arrived.
     *
     * @param message the message
     */
    record Receive(RaftMessage message) implements RaftInput {}

    /**
     * Storage batches are synced.
     *
     * @param completion how far
     */
    record StorageSynced(StorageCompletion completion) implements RaftInput {}

    /**
     * The log store has no space, or has space again.
     *
     * @param full whether writes are refused at present
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
     * Asks from which index on the applied state is linearizable. Ends with {@link
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
     * Hands leadership to a voter. Ends with {@link RaftOutput.LeadershipTransferred} or {@link
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
