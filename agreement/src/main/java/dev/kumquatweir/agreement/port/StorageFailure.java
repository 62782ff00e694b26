package dev.kumquatweir.agreement.port;

import dev.kumquatweir.core.failure.Failure;

/** Why a log store refused or failed. */
public sealed interface StorageFailure extends Failure {
    /**
     * No space is left. Nothing of the batch counts as stored; the same batch may be written again
     * later, and no later batch may be written before it.
     *
     * @param location file or folder without space
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
     * A write or sync failed. What reached the disk is unknown, so the process has to end.
     *
     * @param location file that failed
     * @param problem what the operating system reported
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
     * Stored content is damaged other than by a torn tail.
     *
     * @param location file and byte offset
     * @param problem what is wrong there
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
     * @param problem why not, for instance that another process holds it
     */
    record Unusable(String location, String problem) implements StorageFailure {
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
