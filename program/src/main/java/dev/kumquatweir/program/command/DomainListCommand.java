package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** Lists the failure domains. */
@Command(name = "list", description = "List the failure domains")
@Examples(
        examples = "kumquatweir domain list",
        descriptions = "Lists the failure domains with what serves in each")
public final class DomainListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode answer = client.get("status");
        SortedMap<String, int[]> counts = new TreeMap<>();
        answer.path("instances").forEach(entry -> count(counts, entry)[0]++);
        answer.path("upstreams").forEach(entry -> count(counts, entry)[1]++);
        List<String> out = new ArrayList<>();
        answer.path("configuration").path("domains_out").forEach(name -> out.add(name.asText()));
        out.forEach(name -> counts.computeIfAbsent(name, absent -> new int[2]));
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("DOMAIN", "STATE", "INSTANCES", "UPSTREAMS"));
        counts.forEach(
                (name, count) ->
                        rows.add(
                                List.of(
                                        name,
                                        out.contains(name) ? "out" : "in",
                                        "" + count[0],
                                        "" + count[1])));
        return print(answer, rows);
    }

    private static int[] count(SortedMap<String, int[]> counts, JsonNode entry) {
        return counts.computeIfAbsent(entry.path("failure_domain").asText(), absent -> new int[2]);
    }
}
