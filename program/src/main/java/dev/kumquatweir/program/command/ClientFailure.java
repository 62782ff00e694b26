package dev.kumquatweir.program.command;

import dev.kumquatweir.core.failure.Failure;
import java.util.List;

/** Reason why an operator's command failed, with the exit status and a remedy. Immutable. */
sealed interface ClientFailure extends Failure {
    /** Returns the exit status of the process. */
    ExitStatus exitStatus();

    /** Returns what the operator can do about the failure, in one sentence. */
    String nextStep();

    /**
     * The input of the command is missing or wrong, or the change was not confirmed.
     *
     * @param problem what is wrong
     * @param nextStep what the operator can do about it
     */
    record Input(String problem, String nextStep) implements ClientFailure {
        @Override
        public ExitStatus exitStatus() {
            return ExitStatus.BAD_INPUT;
        }

        @Override
        public String code() {
            return "bad_input";
        }

        @Override
        public String message() {
            return problem;
        }
    }

    /**
     * No instance could serve the request.
     *
     * @param problems one line for each instance that was tried, with its error
     */
    record Unreachable(List<String> problems) implements ClientFailure {
        /** Copies the list, so that the record is immutable. */
        public Unreachable {
            problems = List.copyOf(problems);
        }

        @Override
        public ExitStatus exitStatus() {
            return ExitStatus.UNREACHABLE;
        }

        @Override
        public String nextStep() {
            return "try other instances with --instance; a change may be sent again with the same"
                    + " --command-id, it is applied once";
        }

        @Override
        public String code() {
            return "unreachable";
        }

        @Override
        public String message() {
            return String.join("\n", problems);
        }
    }

    /**
     * An instance refused the request.
     *
     * @param instance URL of the instance
     * @param status HTTP status
     * @param type machine-readable type of the failure
     * @param explanation message for people
     * @param difference lines of the configuration difference, empty unless it is a version
     *     conflict
     */
    record Refused(
            String instance, int status, String type, String explanation, List<String> difference)
            implements ClientFailure {
        /** Copies the list, so that the record is immutable. */
        public Refused {
            difference = List.copyOf(difference);
        }

        @Override
        public ExitStatus exitStatus() {
            return switch (type) {
                case "version_conflict" -> ExitStatus.CONFLICT;
                case "no_quorum", "outcome_uncertain", "not_leader" -> ExitStatus.UNREACHABLE;
                default ->
                        status == 400 || status == 422 ? ExitStatus.BAD_INPUT : ExitStatus.FAILED;
            };
        }

        @Override
        public String nextStep() {
            return switch (type) {
                case "version_conflict" ->
                        "merge the difference into your file and apply the file with the new"
                                + " version as --base";
                case "not_authenticated" ->
                        "check --key or KUMQUATWEIR_OPERATOR_KEY; the keys are listed under"
                                + " [[operators]] in the settings of the instance";
                case "unknown_name" ->
                        "check the spelling with 'status', 'domain list' or 'upstream list';"
                                + " --allow-unknown accepts a name that is not known at present";
                case "leader_not_removable" ->
                        "stop that instance (SIGTERM hands leadership over), then remove it";
                case "no_quorum", "outcome_uncertain", "not_leader" ->
                        "run 'member list' against other instances; sending the command again"
                                + " with the same --command-id is safe";
                default -> "correct the problem in the message and run the command again";
            };
        }

        @Override
        public String code() {
            return type;
        }

        @Override
        public String message() {
            String head = instance + ": " + type + ": " + explanation;
            return difference.isEmpty() ? head : head + "\n" + String.join("\n", difference);
        }
    }
}
