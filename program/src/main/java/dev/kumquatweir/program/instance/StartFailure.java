package dev.kumquatweir.program.instance;

import dev.kumquatweir.core.failure.Failure;

/** Why an instance did not start. */
public sealed interface StartFailure extends Failure {
    /**
     * An address of the settings can't be listened on.
     *
     * @param address the address
     * @param problem reason given by the system
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
     * The data folder can't be opened.
     *
     * @param folder the folder
     * @param problem reason given by the system
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
