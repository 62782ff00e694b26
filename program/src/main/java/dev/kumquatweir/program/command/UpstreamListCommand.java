package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

/** Lists the upstreams that an instance knows. */
@Command(name = "list", description = "List the upstreams")
@Examples(
        examples = "kumquatweir upstream list",
        descriptions = "Lists the upstreams that the instance knows")
public final class UpstreamListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode response = client.get("status");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("UPSTREAM", "SERVICE", "KIND", "DOMAIN", "STATE", "ADDRESS"));
        response.path("upstreams")
                .forEach(
                        upstream ->
                                rows.add(
                                        List.of(
                                                upstream.path("id").asText(),
                                                upstream.path("service").asText(),
                                                upstream.path("kind").asText(),
                                                upstream.path("failure_domain").asText(),
                                                upstream.path("state").asText(),
                                                upstream.path("address").asText())));
        return print(response, rows);
    }
}
