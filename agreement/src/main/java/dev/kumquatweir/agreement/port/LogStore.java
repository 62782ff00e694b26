package dev.kumquatweir.agreement.port;

import io.vavr.control.Either;
import java.util.List;

/**
 * Durable memory of one replica. Used by one thread, the storage duty; calls may block.
 *
 * <p>The agreement core never calls it. The daemon calls {@link #load} once at start, hands the
 * {@link StorageWrite} batches of the core to the storage duty in order, and returns each {@link
 * StorageCompletion} to the core as an input.
 */
public interface LogStore extends AutoCloseable {
    /**
     * Reads everything that is stored; called once, before the first write. A torn tail of the log
     * is removed; any other damage is a failure.
     */
    Either<StorageFailure, StoredState> load();

    /**
     * Makes several batches durable with one sync (group commit).
     *
     * @param writes batches in ascending sequence, without gaps after the last one written
     * @return completion of the last batch, or the failure: after {@link StorageFailure.DiskFull}
     *     the caller may hand over the same batches again, after any other failure the process ends
     */
    Either<StorageFailure, StorageCompletion> write(List<StorageWrite> writes);

    /** Releases files; what was not synced may be lost. */
    @Override
    void close();
}
