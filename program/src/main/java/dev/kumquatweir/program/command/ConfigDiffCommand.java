package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;

/** Shows the difference between two versions of the configuration. */
@Command(name = "diff", description = "Show the difference between two versions")
@Examples(
        examples = "kumquatweir config diff --from 3 --to 5",
        descriptions = "Shows what changed from version 3 to version 5")
public final class ConfigDiffCommand extends OperatorCommand {
    @Option(name = "--from", title = "VERSION", description = "Earlier version")
    @Required
    private long mFrom;

    @Option(name = "--to", title = "VERSION", description = "Later version; the newest if absent")
    private long mTo;

    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode response = client.get("configuration/diff?from=" + mFrom + "&to=" + mTo);
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("KIND", "PATH", "BEFORE", "AFTER"));
        response.path("difference")
                .forEach(
                        entry ->
                                rows.add(
                                        List.of(
                                                entry.path("kind").asText(),
                                                entry.path("path").asText(),
                                                entry.path("before").asText(),
                                                entry.path("after").asText())));
        return print(response, rows);
    }
}
