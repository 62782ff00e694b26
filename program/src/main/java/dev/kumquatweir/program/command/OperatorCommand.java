package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import dev.kumquatweir.core.failure.FailureException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

/** Base class of the operator commands: connection options, output format and error reporting. */
abstract class OperatorCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String INSTANCES_VARIABLE = "KUMQUATWEIR_INSTANCES";
    private static final String KEY_VARIABLE = "KUMQUATWEIR_OPERATOR_KEY";
    private static final int IN_FORCE_POLLS = 12;
    private static final int IN_FORCE_WAIT_MILLIS = 2_500;

    @Option(
            name = "--instance",
            title = "URL",
            description =
                    "URL of the operator API of an instance, such as http://127.0.0.1:7301; may be"
                            + " given several times, tried in turn (or KUMQUATWEIR_INSTANCES)")
    private List<String> mInstances = new ArrayList<>();

    @Option(
            name = "--key",
            title = "KEY",
            description = "Operator key; better set in KUMQUATWEIR_OPERATOR_KEY")
    private String mKey = "";

    @Option(name = "--output", title = "FORM", description = "table (the default) or json")
    @AllowedRawValues(allowedValues = {"table", "json"})
    private String mOutput = "table";

    @Option(
            name = "--command-id",
            title = "ID",
            description = "Id of the change; reuse it to resend a change safely")
    private String mCommandId = "";

    /** Executes the command; throws {@link FailureException} if that fails. */
    abstract ExitStatus run(OperatorClient client);

    @Override
    public final Integer call() {
        try {
            return run(createClient()).code();
        } catch (FailureException exception) {
            System.err.println("failed: " + exception.failure().message());
            if (exception.failure() instanceof ClientFailure failure) {
                System.err.println("next: " + failure.nextStep());
                return failure.exitStatus().code();
            }
            return ExitStatus.FAILED.code();
        }
    }

    /** Prints the response as JSON or the rows as a table, as the output option says. */
    ExitStatus print(JsonNode response, List<List<String>> rows) {
        if (mOutput.equals("json")) {
            System.out.println(response.toPrettyString());
        } else {
            TextTable.lines(rows).forEach(System.out::println);
        }
        return ExitStatus.SUCCESS;
    }

    /**
     * Sends a change, then polls until it is in force on all instances or the number of polls is
     * used up.
     */
    ExitStatus change(OperatorClient client, String path, ObjectNode body) {
        String commandId = mCommandId.isEmpty() ? UUID.randomUUID().toString() : mCommandId;
        System.err.println("command id: " + commandId);
        JsonNode response = client.post(path, body.put("command_id", commandId));
        JsonNode rollout = response;
        String version = response.path("version").asText();
        for (int poll = 0; !rollout.path("in_force").asBoolean() && poll < IN_FORCE_POLLS; poll++) {
            System.err.println(
                    "version " + version + " accepted, waiting for " + rollout.path("behind"));
            rollout =
                    client.get(
                            "configuration/force?version="
                                    + version
                                    + "&wait_ms="
                                    + IN_FORCE_WAIT_MILLIS);
        }
        boolean inForce = rollout.path("in_force").asBoolean();
        String state = inForce ? "in force everywhere" : "accepted, not yet in force";
        print(rollout, List.of(List.of("VERSION", "STATE"), List.of(version, state)));
        if (!inForce) {
            System.err.println(
                    "next: behind are "
                            + rollout.path("behind")
                            + "; they stop serving when their lease ends in "
                            + rollout.path("in_force_within_ms").asLong()
                            + " ms; ask again with 'status'");
        }
        return inForce ? ExitStatus.SUCCESS : ExitStatus.NOT_YET_IN_FORCE;
    }

    static ObjectNode body() {
        return JSON.createObjectNode();
    }

    /**
     * Asks for confirmation at the terminal unless it was given on the command line. Throws {@link
     * FailureException} if the operator does not confirm or there is no terminal.
     */
    static void confirm(boolean confirmed, String question) {
        if (confirmed) {
            return;
        }
        String reply =
                Optional.ofNullable(System.console())
                        .map(console -> console.readLine("%s [y/N] ", question))
                        .orElse("");
        if (!reply.strip().equalsIgnoreCase("y")) {
            throw new FailureException(
                    new ClientFailure.Input("not confirmed: " + question, "answer y or use --yes"));
        }
    }

    private OperatorClient createClient() {
        List<String> instances =
                mInstances.isEmpty()
                        ? Stream.of(environmentVariable(INSTANCES_VARIABLE).split("[, ]+"))
                                .filter(text -> !text.isEmpty())
                                .toList()
                        : mInstances;
        String key = mKey.isEmpty() ? environmentVariable(KEY_VARIABLE) : mKey;
        if (instances.isEmpty() || key.isEmpty()) {
            throw new FailureException(
                    new ClientFailure.Input(
                            instances.isEmpty() ? "no instance given" : "no operator key given",
                            "use --instance and --key, or set "
                                    + INSTANCES_VARIABLE
                                    + " and "
                                    + KEY_VARIABLE));
        }
        return new OperatorClient(instances, key);
    }

    private static String environmentVariable(String name) {
        return Optional.ofNullable(System.getenv(name)).orElse("");
    }
}
