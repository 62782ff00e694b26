package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Lists the retained changes of the configuration. */
@Command(name = "history", description = "List the retained changes of the configuration")
@Examples(
        examples = "kumquatweir config history",
        descriptions = "Lists who changed the configuration, and when")
public final class ConfigHistoryCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode response = client.get("configuration/history");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("VERSION", "BASE", "BY", "AT", "COMMAND"));
        response.path("changes")
                .forEach(
                        change ->
                                rows.add(
                                        List.of(
                                                change.path("version").asText(),
                                                change.path("base_version").asText(),
                                                change.path("changed_by").asText(),
                                                Instant.ofEpochMilli(
                                                                change.path("changed_at_ms")
                                                                        .asLong())
                                                        .toString(),
                                                change.path("command_id").asText())));
        return print(response, rows);
    }
}
