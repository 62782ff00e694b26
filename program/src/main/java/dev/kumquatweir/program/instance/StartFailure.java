package dev.kumquatweir.program.instance;

import dev.kumquatweir.core.failure.Failure;

/** Reasons why an instance could not start. */
public sealed interface StartFailure extends Failure {
    /**
     * An address of the settings cannot be listened on.
     *
     * @param address address and port
     * @param problem message of the operating system
     */
    record CannotListen(String address, String problem) implements StartFailure {
        @Override
        public String code() {
            return "cannot_listen";
        }

        @Override
        public String message() {
            return address + ": " + problem;
        }
    }

    /**
     * The data folder cannot be opened.
     *
     * @param folder path of the folder
     * @param problem message of the operating system
     */
    record NoDataFolder(String folder, String problem) implements StartFailure {
        @Override
        public String code() {
            return "no_data_folder";
        }

        @Override
        public String message() {
            return folder + ": " + problem;
        }
    }
}
