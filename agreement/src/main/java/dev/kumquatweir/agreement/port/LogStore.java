package dev.kumquatweir.agreement.port;

import io.vavr.control.Either;
import java.util.List;

/**
 * Durable storage of one replica: its log, snapshot and hard state. Used only by the storage
 * thread; calls may block.
 *
 * <p>The Raft core never calls it. The daemon calls {@link #load} once at start, passes the {@link
 * StorageWrite} batches of the core to the storage thread in order, and feeds each {@link
 * StorageCompletion} back to the core as an input.
 */
public interface LogStore extends AutoCloseable {
    /**
     * Reads the whole stored state. Called once, before the first write. Truncates an incompletely
     * written tail of the log; any other corruption is a failure. What is returned is durable, also
     * if the process before was killed between a write and its sync.
     */
    Either<StorageFailure, StoredState> load();

    /**
     * Makes several batches durable with one sync (group commit).
     *
     * @param writes batches in ascending sequence, without gaps after the last one written
     * @return completion of the last batch, or the failure: after {@link StorageFailure.DiskFull}
     *     the caller may write the same batches again, after any other failure the process must end
     */
    Either<StorageFailure, StorageCompletion> write(List<StorageWrite> writes);

    /** Closes the files. Data that was not synced may be lost. */
    @Override
    void close();
}
