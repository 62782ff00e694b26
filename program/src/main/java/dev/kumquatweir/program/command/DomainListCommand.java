package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** Lists the failure domains with their state and the number of instances and upstreams. */
@Command(name = "list", description = "List the failure domains")
@Examples(
        examples = "kumquatweir domain list",
        descriptions = "Lists the failure domains with the instances and upstreams in each")
public final class DomainListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode response = client.get("status");
        SortedMap<String, int[]> counts = new TreeMap<>();
        response.path("instances").forEach(entry -> countsFor(counts, entry)[0]++);
        response.path("upstreams").forEach(entry -> countsFor(counts, entry)[1]++);
        List<String> domainsOut = new ArrayList<>();
        response.path("configuration")
                .path("domains_out")
                .forEach(name -> domainsOut.add(name.asText()));
        domainsOut.forEach(name -> counts.computeIfAbsent(name, absent -> new int[2]));
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("DOMAIN", "STATE", "INSTANCES", "UPSTREAMS"));
        counts.forEach(
                (name, count) ->
                        rows.add(
                                List.of(
                                        name,
                                        domainsOut.contains(name) ? "out" : "in",
                                        "" + count[0],
                                        "" + count[1])));
        return print(response, rows);
    }

    private static int[] countsFor(SortedMap<String, int[]> counts, JsonNode entry) {
        return counts.computeIfAbsent(entry.path("failure_domain").asText(), absent -> new int[2]);
    }
}
