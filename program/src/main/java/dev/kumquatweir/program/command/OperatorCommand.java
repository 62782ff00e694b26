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

/** What all commands of operators share: which instances to ask, the key, the form of output. */
abstract class OperatorCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String INSTANCES_VARIABLE = "KUMQUATWEIR_INSTANCES";
    private static final String KEY_VARIABLE = "KUMQUATWEIR_OPERATOR_KEY";
    private static final int FORCE_ASKS = 12;
    private static final int FORCE_WAIT_MILLIS = 2_500;

    @Option(
            name = "--instance",
            title = "URL",
            description =
                    "Operators' address of an instance, such as http://127.0.0.1:7301; may be given"
                            + " several times, tried in turn (or KUMQUATWEIR_INSTANCES)")
    private List<String> mInstances = new ArrayList<>();

    @Option(
            name = "--key",
            title = "KEY",
            description = "The operator's key (better: KUMQUATWEIR_OPERATOR_KEY)")
    private String mKey = "";

    @Option(name = "--output", title = "FORM", description = "table (the default) or json")
    @AllowedRawValues(allowedValues = {"table", "json"})
    private String mOutput = "table";

    @Option(
            name = "--command-id",
            title = "ID",
            description = "Id of the change; give the same one to send a change again")
    private String mCommandId = "";

    /** Does the work with a client that is ready. */
    abstract ExitStatus run(OperatorClient client);

    @Override
    public final Integer call() {
        try {
            return run(client()).code();
        } catch (FailureException exception) {
            System.err.println("failed: " + exception.failure().message());
            if (exception.failure() instanceof ClientFailure failure) {
                System.err.println("next: " + failure.next());
                return failure.exit().code();
            }
            return ExitStatus.FAILED.code();
        }
    }

    /** Prints the answer itself, or the lines that a table of it has. */
    ExitStatus print(JsonNode answer, List<List<String>> table) {
        if (mOutput.equals("json")) {
            System.out.println(answer.toPrettyString());
        } else {
            TextTable.lines(table).forEach(System.out::println);
        }
        return ExitStatus.SUCCESS;
    }

    /** Sends a change, then waits until it is in force everywhere. */
    ExitStatus change(OperatorClient client, String path, ObjectNode body) {
        String command = mCommandId.isEmpty() ? UUID.randomUUID().toString() : mCommandId;
        System.err.println("command id: " + command);
        JsonNode answer = client.post(path, body.put("command_id", command));
        JsonNode force = answer;
        String version = answer.path("version").asText();
        for (int asked = 0; !force.path("in_force").asBoolean() && asked < FORCE_ASKS; asked++) {
            System.err.println(
                    "version " + version + " accepted, waiting for " + force.path("behind"));
            force =
                    client.get(
                            "configuration/force?version="
                                    + version
                                    + "&wait_ms="
                                    + FORCE_WAIT_MILLIS);
        }
        boolean inForce = force.path("in_force").asBoolean();
        String state = inForce ? "in force everywhere" : "accepted, not yet in force";
        print(force, List.of(List.of("VERSION", "STATE"), List.of(version, state)));
        if (!inForce) {
            System.err.println(
                    "next: behind are "
                            + force.path("behind")
                            + "; they stop serving when their lease ends in "
                            + force.path("in_force_within_ms").asLong()
                            + " ms; ask again with 'status'");
        }
        return inForce ? ExitStatus.SUCCESS : ExitStatus.NOT_YET_IN_FORCE;
    }

    static ObjectNode body() {
        return JSON.createObjectNode();
    }

    /** Asks at the terminal unless it was confirmed on the command line. */
    static void confirm(boolean confirmed, String question) {
        if (confirmed) {
            return;
        }
        String line =
                Optional.ofNullable(System.console())
                        .map(console -> console.readLine("%s [y/N] ", question))
                        .orElse("");
        if (!line.strip().equalsIgnoreCase("y")) {
            throw new FailureException(
                    new ClientFailure.Input(
                            "not confirmed: " + question, "answer y, or give --yes"));
        }
    }

    private OperatorClient client() {
        List<String> instances =
                mInstances.isEmpty()
                        ? Stream.of(variable(INSTANCES_VARIABLE).split("[, ]+"))
                                .filter(text -> !text.isEmpty())
                                .toList()
                        : mInstances;
        String key = mKey.isEmpty() ? variable(KEY_VARIABLE) : mKey;
        if (instances.isEmpty() || key.isEmpty()) {
            throw new FailureException(
                    new ClientFailure.Input(
                            instances.isEmpty() ? "no instance is named" : "no key is given",
                            "give --instance and --key, or set "
                                    + INSTANCES_VARIABLE
                                    + " and "
                                    + KEY_VARIABLE));
        }
        return new OperatorClient(instances, key);
    }

    private static String variable(String name) {
        return Optional.ofNullable(System.getenv(name)).orElse("");
    }
}
