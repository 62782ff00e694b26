package dev.kumquatweir.storage;

import dev.kumquatweir.agreement.port.HardState;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.SnapshotImage;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.core.event.EventLog;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A {@link LogStore} on files of one {@link DataFolder}. Used by one thread, the storage duty.
 *
 * <p>Files: {@code lock}, {@code store-id}, {@code hard-state}, {@code snapshot-INDEX-TERM.image},
 * {@code segment-INDEX.log} and {@code recovery-point.tmp}. All batches of one {@link #write} share
 * one sync of the log; hard state and snapshots, which are rare, are synced on their own.
 */
public final class FileLogStore implements LogStore {
    /** Size after which a new segment begins; bounds what compaction leaves to read at start. */
    public static final long DEFAULT_SEGMENT_BYTES = 4L * 1024 * 1024;

    private static final EventLog LOG = EventLog.of(FileLogStore.class);

    private final DataFolder mFolder;
    private final StateFiles mState;
    private final long mSegmentBytes;
    private @Nullable Loaded mLoaded;
    private @Nullable StorageFailure mFailure;
    private HardState mHardState = HardState.INITIAL;
    private long mSnapshotIndex;
    private long mLastSequence;

    private record Loaded(StoreId storeId, SegmentedLog log) {}

    /**
     * Makes a store that has not read anything yet.
     *
     * @param folder where the files are; closed with the store
     * @param segmentBytes size after which a new segment begins
     */
    public FileLogStore(DataFolder folder, long segmentBytes) {
        mFolder = folder;
        mState = new StateFiles(folder);
        mSegmentBytes = segmentBytes;
    }

    /** Makes a store with segments of {@link #DEFAULT_SEGMENT_BYTES}. */
    public FileLogStore(DataFolder folder) {
        this(folder, DEFAULT_SEGMENT_BYTES);
    }

    // Life-cycle.

    @Override
    public Either<StorageFailure, StoredState> load() {
        try {
            if (!mFolder.lock()) {
                return Either.left(
                        new StorageFailure.Unusable(
                                mFolder.location(), "another process uses the folder", true));
            }
            return Either.right(loadLocked());
        } catch (DamageException damage) {
            return failLoad(damage.failure());
        } catch (NoSpaceException full) {
            return failLoad(new StorageFailure.DiskFull(full.location()));
        } catch (IOException fault) {
            return failLoad(
                    new StorageFailure.Unusable(
                            mFolder.location(), String.valueOf(fault.getMessage()), false));
        }
    }

    @Override
    public void close() {
        // The folder is unlocked even if a segment can't be closed: another attempt may follow.
        try (mFolder) {
            Loaded loaded = mLoaded;
            if (loaded != null) {
                loaded.log().close();
            }
        } catch (IOException fault) {
            LOG.error("storage_close_failed", fault, "folder", mFolder.location());
        }
    }

    // Public API.

    @Override
    public Either<StorageFailure, StorageCompletion> write(List<StorageWrite> writes) {
        Loaded loaded = mLoaded;
        if (loaded == null) {
            throw new IllegalStateException("load() comes first");
        }
        if (mFailure != null) {
            return Either.left(mFailure);
        }
        requireSequence(writes);
        SegmentedLog log = loaded.log();
        try {
            WriteGroup group = WriteGroup.of(writes, log.lastIndex(), mSnapshotIndex);
            log.beginGroup();
            apply(loaded, group);
            log.completeGroup();
            mLastSequence = writes.getLast().sequence();
            compact(log, group);
            return Either.right(
                    new StorageCompletion(
                            mLastSequence, Math.max(log.lastIndex(), mSnapshotIndex)));
        } catch (NoSpaceException full) {
            return refuse(log, full);
        } catch (IOException fault) {
            return fail(fault);
        } catch (RuntimeException fault) {
            // The files may hold a part of the group now, so nothing more may be written.
            mFailure = syncFailed(fault);
            throw fault;
        }
    }

    // Helpers.

    private StoredState loadLocked() throws IOException {
        mState.deleteTemporary();
        // A process that was killed may have renamed a file without a sync of the folder.
        mFolder.sync();
        StoreId storeId = mState.loadOrMakeStoreId();
        mHardState = mState.readHardState(storeId);
        Optional<SnapshotImage> snapshot = mState.readSnapshot(storeId);
        SegmentedLog log = new SegmentedLog(mFolder, storeId, mSegmentBytes);
        mLoaded = new Loaded(storeId, log);
        mSnapshotIndex = snapshot.map(SnapshotImage::index).orElse(0L);
        List<LogEntry> entries = log.load(mSnapshotIndex);
        if (!entries.isEmpty() && entries.getFirst().index() > mSnapshotIndex + 1) {
            // Compaction follows the sync of the snapshot, so no crash leaves this.
            throw new DamageException(
                    mFolder.location(),
                    0,
                    "the log begins at index "
                            + entries.getFirst().index()
                            + " but the snapshot ends at "
                            + mSnapshotIndex);
        }
        if (snapshot.isPresent() && supersedes(snapshot.get(), entries)) {
            log.truncateFrom(StorageWrite.NO_INDEX);
            entries = List.of();
        }
        if (snapshot.isPresent()) {
            mState.deleteSnapshotsExcept(snapshot.get());
        }
        return new StoredState(storeId.text(), mHardState, snapshot, entries);
    }

    private Either<StorageFailure, StoredState> failLoad(StorageFailure failure) {
        mFailure = failure;
        return Either.left(failure);
    }

    /** Returns whether a received snapshot covers the log or contradicts it. */
    private static boolean supersedes(SnapshotImage snapshot, List<LogEntry> entries) {
        if (entries.isEmpty() || entries.getLast().index() < snapshot.index()) {
            return true;
        }
        int position = (int) (snapshot.index() - entries.getFirst().index());
        return position >= 0 && entries.get(position).term() != snapshot.term();
    }

    private void requireSequence(List<StorageWrite> writes) {
        long expected = mLastSequence;
        for (StorageWrite write : writes) {
            expected++;
            if (write.sequence() != expected) {
                throw new IllegalArgumentException(
                        "batch " + write.sequence() + " where " + expected + " was expected");
            }
        }
        if (writes.isEmpty()) {
            throw new IllegalArgumentException("no batches");
        }
    }

    /**
     * Writes the parts in the order of the port. The hard state comes first, so that the stored
     * term is never behind that of a stored entry.
     */
    private void apply(Loaded loaded, WriteGroup group) throws IOException {
        SegmentedLog log = loaded.log();
        if (group.hardState().isPresent() && !group.hardState().get().equals(mHardState)) {
            mState.writeHardState(loaded.storeId(), group.hardState().get());
            mHardState = group.hardState().get();
        }
        if (group.snapshot().isPresent()) {
            SnapshotImage image = group.snapshot().get();
            mState.writeSnapshot(loaded.storeId(), image);
            mSnapshotIndex = image.index();
        }
        if (group.truncateFrom() != StorageWrite.NO_INDEX) {
            log.truncateFrom(group.truncateFrom());
        }
        for (LogEntry entry : group.entries()) {
            log.append(entry);
        }
    }

    /** Deletes what the group made superfluous; the group is durable at this point. */
    private void compact(SegmentedLog log, WriteGroup group) throws IOException {
        if (group.snapshot().isPresent()) {
            mState.deleteSnapshotsExcept(group.snapshot().get());
        }
        log.compactThrough(group.compactThrough());
    }

    private Either<StorageFailure, StorageCompletion> refuse(
            SegmentedLog log, NoSpaceException full) {
        try {
            log.rollBack();
            log.removeCoveredSegments(mSnapshotIndex);
            return Either.left(new StorageFailure.DiskFull(full.location()));
        } catch (IOException fault) {
            return fail(fault);
        }
    }

    private Either<StorageFailure, StorageCompletion> fail(IOException fault) {
        StorageFailure failure = syncFailed(fault);
        mFailure = failure;
        return Either.left(failure);
    }

    private StorageFailure syncFailed(Exception fault) {
        return new StorageFailure.SyncFailed(
                mFolder.location(), String.valueOf(fault.getMessage()));
    }
}
