package dev.kumquatweir.program.burn;

import dev.kumquatweir.core.failure.Failure;

/** Why saved counters were not used or not saved. Counting goes on without them. */
public sealed interface BurnFailure extends Failure {
    /**
     * The file can't be understood.
     *
     * @param file the file
     * @param problem what is wrong
     */
    record Damaged(String file, String problem) implements BurnFailure {
        @Override
        public String code() {
            return "burn_file_damaged";
        }

        @Override
        public String message() {
            return file + ": " + problem;
        }
    }

    /**
     * The file can't be written or read.
     *
     * @param file the file
     * @param problem reason given by the system
     */
    record Unusable(String file, String problem) implements BurnFailure {
        @Override
        public String code() {
            return "burn_file_unusable";
        }

        @Override
        public String message() {
            return file + ": " + problem;
        }
    }
}
