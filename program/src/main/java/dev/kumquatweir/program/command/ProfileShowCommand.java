package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.core.failure.FailureException;
import java.util.ArrayList;
import java.util.List;

/** Shows all keys and values of a profile. */
@Command(name = "show", description = "Show one profile")
@Examples(
        examples = "kumquatweir profile show dossier",
        descriptions = "Shows all keys and values of the profile dossier")
public final class ProfileShowCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Name of the profile")
    @Required
    private String mName = "";

    @Override
    ExitStatus run(OperatorClient client) {
        for (JsonNode profile : client.get("configuration").path("document").path("profiles")) {
            if (profile.path("name").asText().equals(mName)) {
                List<List<String>> rows = new ArrayList<>();
                rows.add(List.of("KEY", "VALUE"));
                profile.properties()
                        .forEach(
                                property ->
                                        rows.add(
                                                List.of(
                                                        property.getKey(),
                                                        property.getValue().toString())));
                return print(profile, rows);
            }
        }
        throw new FailureException(
                new ClientFailure.Input(
                        "no profile is named " + mName, "run 'profile list' to see the names"));
    }
}
