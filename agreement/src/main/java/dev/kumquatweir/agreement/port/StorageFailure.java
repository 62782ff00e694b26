package dev.kumquatweir.agreement.port;

import dev.kumquatweir.core.failure.Failure;

/** Failure of a log store. */
public sealed interface StorageFailure extends Failure {
    /**
     * The disk is full. No part of the batch counts as stored. The same batch may be written again,
     * and must be written before any later batch.
     *
     * @param location file or folder that could not be written
     */
    record DiskFull(String location) implements StorageFailure {
        @Override
        public String code() {
            return "disk_full";
        }

        @Override
        public String message() {
            return "no space left for " + location;
        }
    }

    /**
     * A write or sync failed. It is unknown which data reached the disk, so the process must end.
     *
     * @param location file that failed
     * @param problem error reported by the operating system
     */
    record SyncFailed(String location, String problem) implements StorageFailure {
        @Override
        public String code() {
            return "sync_failed";
        }

        @Override
        public String message() {
            return location + ": " + problem;
        }
    }

    /**
     * Stored content is corrupted, other than by an incompletely written tail of the log.
     *
     * @param location file and byte offset
     * @param problem description of the corruption
     */
    record Corrupted(String location, String problem) implements StorageFailure {
        @Override
        public String code() {
            return "storage_corrupted";
        }

        @Override
        public String message() {
            return location + ": " + problem;
        }
    }

    /**
     * The data folder can't be used.
     *
     * @param location the folder or file
     * @param problem reason, for instance that another process has locked it
     * @param temporary whether the folder may become usable while the process waits
     */
    record Unusable(String location, String problem, boolean temporary) implements StorageFailure {
        @Override
        public String code() {
            return "storage_unusable";
        }

        @Override
        public String message() {
            return location + ": " + problem;
        }
    }
}
