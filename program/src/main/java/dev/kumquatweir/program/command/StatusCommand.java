package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

/** Shows the status of one instance and its view of the system. */
@Command(name = "status", description = "Show members, configuration and running requests")
@Examples(
        examples = "kumquatweir status",
        descriptions = "Shows the view of the first instance that responds")
public final class StatusCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode response = client.get("status");
        JsonNode configuration = response.path("configuration");
        JsonNode group = response.path("group");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("WHAT", "VALUE"));
        rows.add(List.of("asked", response.path("instance").asText()));
        rows.add(List.of("running requests here", response.path("running").asText()));
        rows.add(List.of("leader", group.path("leader").asText("none: " + group.path("message"))));
        rows.add(List.of("configuration version", configuration.path("version").asText("unknown")));
        rows.add(List.of("in force everywhere", configuration.path("in_force").asText("unknown")));
        rows.add(List.of("behind", configuration.path("behind").toString()));
        rows.add(List.of("domains out", configuration.path("domains_out").toString()));
        rows.add(List.of("upstreams known here", "" + response.path("upstreams").size()));
        group.path("members")
                .forEach(
                        member ->
                                rows.add(
                                        List.of(
                                                "member " + member.path("name").asText(),
                                                member.path("role").asText())));
        return print(response, rows);
    }
}
