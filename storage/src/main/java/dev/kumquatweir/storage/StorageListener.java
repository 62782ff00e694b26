package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;

/** Learns what became of batches. Called on the storage thread; must not block. */
public interface StorageListener {
    /** All batches up to the one in the completion are durable. */
    void completed(StorageCompletion completion);

    /** No space is left. The batches wait and are written again until there is space. */
    void diskFull(StorageFailure.DiskFull failure);

    /** The batches that waited for space are durable; {@link #completed} follows. */
    void spaceReturned();

    /**
     * The store can't go on; what is durable beyond the last completion is unknown. The process has
     * to end. Called once; nothing is written or completed after it.
     */
    void failed(StorageFailure failure);
}
