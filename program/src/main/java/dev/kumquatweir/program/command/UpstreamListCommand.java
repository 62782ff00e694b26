package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

/** Lists the upstreams. */
@Command(name = "list", description = "List the upstreams")
@Examples(
        examples = "kumquatweir upstream list",
        descriptions = "Lists the upstreams that the instance knows")
public final class UpstreamListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode answer = client.get("status");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("UPSTREAM", "SERVICE", "KIND", "DOMAIN", "STATE", "ADDRESS"));
        answer.path("upstreams")
                .forEach(
                        entry ->
                                rows.add(
                                        List.of(
                                                entry.path("id").asText(),
                                                entry.path("service").asText(),
                                                entry.path("kind").asText(),
                                                entry.path("failure_domain").asText(),
                                                entry.path("state").asText(),
                                                entry.path("address").asText())));
        return print(answer, rows);
    }
}
