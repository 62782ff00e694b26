package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

/** Lists the profiles. */
@Command(name = "list", description = "List the profiles")
@Examples(
        examples = "kumquatweir profile list",
        descriptions = "Lists the profiles with class, service and time limit")
public final class ProfileListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode answer = client.get("configuration");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("PROFILE", "CLASS", "SERVICE", "LIMIT", "PRIORITY"));
        answer.path("document")
                .path("profiles")
                .forEach(
                        entry ->
                                rows.add(
                                        List.of(
                                                entry.path("name").asText(),
                                                entry.path("class").asText(),
                                                entry.path("service").asText(),
                                                entry.path("time_limit_seconds").asText() + " s",
                                                entry.path("priority").asText())));
        return print(answer, rows);
    }
}
