package dev.kumquatweir.program.command;

import dev.kumquatweir.core.failure.Failure;
import java.util.List;

/** Why an operator's command failed, and what to do next. Immutable. */
sealed interface ClientFailure extends Failure {
    /** Returns the status to exit with. */
    ExitStatus exitStatus();

    /** Returns what the operator can do next, in one sentence. */
    String nextStep();

    /**
     * The command line lacks something or was not confirmed.
     *
     * @param problem what is missing
     * @param nextStep what to do
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
     * No instance answered.
     *
     * @param problems each instance with what went wrong there
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
                    + " --command-id, it is carried out once";
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
     * An instance refused.
     *
     * @param instance URL of the instance
     * @param status HTTP status
     * @param type type of the failure
     * @param explanation the failure in words
     * @param difference lines of the difference, for a conflict
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
                        "look at the difference, put it into your file, and apply that with the"
                                + " new version as --base";
                case "not_authenticated" ->
                        "check --key or KUMQUATWEIR_OPERATOR_KEY; the keys stand under"
                                + " [[operators]] in the settings of the instance";
                case "unknown_name" ->
                        "check the spelling with 'status', 'domain list' or 'upstream list';"
                                + " --allow-unknown takes a name that is not known at present";
                case "leader_not_removable" ->
                        "stop that instance (SIGTERM hands leadership over), then remove it";
                case "no_quorum", "outcome_uncertain", "not_leader" ->
                        "look at 'member list' through other instances; sending the command again"
                                + " with the same --command-id is safe";
                default -> "correct what the message names and run the command again";
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
