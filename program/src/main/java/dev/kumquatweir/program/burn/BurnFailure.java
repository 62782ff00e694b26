package dev.kumquatweir.program.burn;

import dev.kumquatweir.core.failure.Failure;

/**
 * Reasons why burn counters could not be loaded, saved or received. Counting continues without
 * them.
 */
public sealed interface BurnFailure extends Failure {
    /**
     * The content cannot be parsed.
     *
     * @param file path of the file, or the source of the message
     * @param problem what is wrong with the content
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
     * The file cannot be written or read.
     *
     * @param file path of the file
     * @param problem message of the operating system
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
