package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

/** Lists the profiles of the newest configuration. */
@Command(name = "list", description = "List the profiles")
@Examples(
        examples = "kumquatweir profile list",
        descriptions = "Lists the profiles with class, service and time limit")
public final class ProfileListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode response = client.get("configuration");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("PROFILE", "CLASS", "SERVICE", "LIMIT", "PRIORITY"));
        response.path("document")
                .path("profiles")
                .forEach(
                        profile ->
                                rows.add(
                                        List.of(
                                                profile.path("name").asText(),
                                                profile.path("class").asText(),
                                                profile.path("service").asText(),
                                                profile.path("time_limit_seconds").asText() + " s",
                                                profile.path("priority").asText())));
        return print(response, rows);
    }
}
