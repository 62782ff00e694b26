package dev.kumquatweir.agreement.raft;

import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageWrite;
import java.util.Optional;

/** What the daemon does for a {@link RaftNode}, in the order given. */
public sealed interface RaftOutput {
    /**
     * Sends a message; it may be lost.
     *
     * @param message the message
     */
    record Send(RaftMessage message) implements RaftOutput {}

    /**
     * Hands a batch to the storage duty and returns {@link RaftInput.StorageSynced} afterwards.
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
     * Replaces the state of the state machine.
     *
     * @param snapshot the new state
     */
    record Restore(SnapshotImage snapshot) implements RaftOutput {}

    /**
     * Copies the state machine, after all entries up to the index were applied and before any later
     * one is, and returns {@link RaftInput.SnapshotTaken} once the copy is encoded.
     *
     * @param readIndex index of the last applied entry
     */
    record TakeSnapshot(long index) implements RaftOutput {}

    /**
     * A request failed.
     *
     * @param requestId the request
     * @param failure why
     */
    record RequestFailed(long requestId, RaftFailure failure) implements RaftOutput {}

    /**
     * A read sees all that was committed before it was asked.
     *
     * @param requestId the request
     * @param readIndex index that is applied by now
     */
    record ReadReady(long requestId, long readIndex) implements RaftOutput {}

    /**
     * Another voter has begun a newer term after a transfer.
     *
     * @param requestId the request
     */
    record LeadershipTransferred(long requestId) implements RaftOutput {}

    /**
     * Role, term or known leader changed.
     *
     * @param role present role
     * @param term present term
     * @param leader the leader, if it is known
     */
    record RoleChanged(RaftRole role, long term, Optional<MemberId> leader) implements RaftOutput {}
}
