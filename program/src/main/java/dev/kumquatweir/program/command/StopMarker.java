package dev.kumquatweir.program.command;

import dev.kumquatweir.core.event.EventLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * File of the data folder that a planned stop leaves, so that the next start can log how the life
 * before ended. Only the log depends on it: a disk without room keeps no marker. Stateless.
 */
final class StopMarker {
    private static final EventLog LOG = EventLog.of(StopMarker.class);
    private static final String FILE_NAME = "planned-stop";
    private static final String STORE_ID = "store-id";

    private StopMarker() {}

    /** How the life before this one ended. */
    enum PreviousEnd {
        /** The folder has no store: the first life, or the disk was lost. */
        NO_STORE,
        PLANNED_STOP,
        /** The process or the machine ended otherwise. */
        UNPLANNED
    }

    /** Records a planned stop. */
    static void leave(Path folder) {
        try {
            Files.writeString(folder.resolve(FILE_NAME), "");
        } catch (IOException exception) {
            LOG.warn("planned_stop_not_recorded", "problem", exception.getMessage());
        }
    }

    /** Returns how the life before ended and removes the marker. */
    static PreviousEnd take(Path folder) {
        try {
            if (Files.deleteIfExists(folder.resolve(FILE_NAME))) {
                return PreviousEnd.PLANNED_STOP;
            }
        } catch (IOException exception) {
            LOG.warn("planned_stop_unknown", "problem", exception.getMessage());
        }
        return Files.exists(folder.resolve(STORE_ID))
                ? PreviousEnd.UNPLANNED
                : PreviousEnd.NO_STORE;
    }
}
