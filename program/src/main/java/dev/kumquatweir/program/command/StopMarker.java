package dev.kumquatweir.program.command;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.StorageCompletion;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.agreement.port.StorageWrite;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.core.event.EventLog;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * File of the data folder that a planned stop leaves, so that the next start can log how the
 * process before ended. It is read and written only while this process has the folder locked: a
 * process that waits for the folder would otherwise change the marker of the one that holds it.
 * Only the log depends on it: a disk without room keeps no marker.
 */
final class StopMarker {
    private static final EventLog LOG = EventLog.of(StopMarker.class);
    private static final String FILE_NAME = "planned-stop";
    private static final String STORE_ID = "store-id";

    private final Path mFolder;
    private boolean mTaken;
    private boolean mStopping;
    private boolean mLeft;

    StopMarker(Path folder) {
        mFolder = folder;
    }

    /** How the process before this one ended. */
    enum PreviousEnd {
        /** The folder has no store: the first start, or the disk was lost. */
        NO_STORE,
        PLANNED_STOP,
        /** The process or the machine ended otherwise. */
        UNPLANNED
    }

    /** Returns the store with the marker read once it is loaded and left before it is closed. */
    LogStore attach(LogStore store) {
        return new MarkedStore(store);
    }

    /** From now on the marker is left when the store is closed. */
    synchronized void beginStop() {
        mStopping = true;
    }

    /** Records a planned stop if this process has held the folder and hasn't done so before. */
    synchronized void leave() {
        if (!mTaken || mLeft) {
            return;
        }
        mLeft = true;
        try {
            Files.writeString(mFolder.resolve(FILE_NAME), "");
        } catch (IOException exception) {
            LOG.warn("planned_stop_not_recorded", "problem", exception.getMessage());
        }
    }

    private synchronized void leaveIfStopping() {
        if (mStopping) {
            leave();
        }
    }

    private synchronized void take(boolean storeExisted) {
        if (!mTaken) {
            mTaken = true;
            LOG.info("process_started", "previous", previousEnd(storeExisted));
        }
    }

    private PreviousEnd previousEnd(boolean storeExisted) {
        try {
            if (Files.deleteIfExists(mFolder.resolve(FILE_NAME))) {
                syncFolder();
                return PreviousEnd.PLANNED_STOP;
            }
        } catch (IOException exception) {
            LOG.warn("planned_stop_unknown", "problem", exception.getMessage());
        }
        return storeExisted ? PreviousEnd.UNPLANNED : PreviousEnd.NO_STORE;
    }

    /** A marker that comes back after a loss of power would report a planned stop. */
    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(mFolder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private final class MarkedStore implements LogStore {
        private final LogStore mStore;

        MarkedStore(LogStore store) {
            mStore = store;
        }

        @Override
        public Either<StorageFailure, StoredState> load() {
            boolean storeExisted = Files.exists(mFolder.resolve(STORE_ID));
            return mStore.load().peek(state -> take(storeExisted));
        }

        @Override
        public Either<StorageFailure, StorageCompletion> write(List<StorageWrite> writes) {
            return mStore.write(writes);
        }

        @Override
        public void close() {
            leaveIfStopping();
            mStore.close();
        }
    }
}
