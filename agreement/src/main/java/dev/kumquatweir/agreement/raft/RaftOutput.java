package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import java.util.Optional;

/** An action that the caller executes for a {@link RaftNode}, in the order returned. */
public sealed interface RaftOutput {
    /**
     * Sends a message; it may be lost.
     *
     * @param message the message
     */
    record Send(RaftMessage message) implements RaftOutput {}

    /**
     * Writes and syncs a batch to the log store, then reports {@link RaftInput.StorageSynced}.
     *
     * @param write the batch
     */
    record Write(StorageWrite write) implements RaftOutput {}

    /**
     * Applies a committed entry to the state machine.
     *
     * @param entry the entry
     * @param requestId the request of this replica that appended it, 0 if there is none
     */
    record Apply(LogEntry entry, long requestId) implements RaftOutput {}

    /**
     * Replaces the state of the state machine with a snapshot.
     *
     * @param snapshot the new state
     */
    record Restore(SnapshotImage snapshot) implements RaftOutput {}

    /**
     * Copies the state machine, after all entries up to the index were applied and before any later
     * one is, and returns {@link RaftInput.SnapshotTaken} once the copy is encoded.
     *
     * @param index index of the last applied entry
     */
    record TakeSnapshot(long index) implements RaftOutput {}

    /**
     * A request failed.
     *
     * @param requestId the request
     * @param failure cause of the failure
     */
    record RequestFailed(long requestId, RaftFailure failure) implements RaftOutput {}

    /**
     * A linearizable read may run on the applied state.
     *
     * @param requestId the request
     * @param readIndex index that is applied by now
     */
    record ReadReady(long requestId, long readIndex) implements RaftOutput {}

    /**
     * A voter has started a newer term after a leadership transfer.
     *
     * @param requestId the request
     */
    record LeadershipTransferred(long requestId) implements RaftOutput {}

    /**
     * The role, term or known leader has changed.
     *
     * @param role current role
     * @param term current term
     * @param leader the leader, if known
     */
    record RoleChanged(RaftRole role, long term, Optional<MemberId> leader) implements RaftOutput {}
}
