package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.Profile;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.settings.ConfigurationReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Describes in plain sentences how a profile treats requests. */
@Command(name = "explain", description = "Describe a profile in plain sentences")
@Examples(
        examples = "kumquatweir profile explain dossier --prompt-tokens 400000 --team ipoh",
        descriptions = "Tells what happens to a prompt of 400,000 tokens of team ipoh")
public final class ProfileExplainCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Name of the profile")
    @Required
    private String mName = "";

    @Option(name = "--prompt-tokens", title = "N", description = "Prompt length of the request")
    private long mPromptTokens;

    @Option(name = "--team", title = "NAME", description = "Team that sends the request")
    private String mTeam = "";

    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode configuration = client.get("configuration").path("document");
        ConfigurationDocument document =
                ConfigurationReader.readStored(Bytes.ofText(configuration.toString()))
                        .getOrElseThrow(FailureException::new);
        Profile profile =
                document.profiles().values().stream()
                        .filter(candidate -> candidate.name().value().equals(mName))
                        .findFirst()
                        .orElseThrow(
                                () ->
                                        new FailureException(
                                                new ClientFailure.Input(
                                                        "no profile is named " + mName,
                                                        "run 'profile list' to see the names")));
        List<String> lines = new ArrayList<>(ProfileExplanation.describe(profile));
        lines.addAll(
                ProfileExplanation.describeRequest(
                        document,
                        profile,
                        servingEngines(client.get("status").path("upstreams"), profile),
                        mPromptTokens > 0 ? OptionalLong.of(mPromptTokens) : OptionalLong.empty(),
                        mTeam.isEmpty() ? Optional.empty() : Optional.of(new TeamName(mTeam))));
        ObjectNode response = body().put("profile", mName);
        ArrayNode sentences = response.putArray("sentences");
        lines.forEach(sentences::add);
        return print(response, lines.stream().map(List::of).toList());
    }

    private static ProfileExplanation.ServingEngines servingEngines(
            JsonNode upstreams, Profile profile) {
        int count = 0;
        long largestMemoryTokens = 0;
        for (JsonNode upstream : upstreams) {
            if (upstream.path("service").asText().equals(profile.service().value())
                    && upstream.path("kind").asText().equals("engine")
                    && upstream.path("state").asText().equals("serving")) {
                count++;
                largestMemoryTokens =
                        Math.max(largestMemoryTokens, upstream.path("memory_tokens").asLong());
            }
        }
        return new ProfileExplanation.ServingEngines(count, largestMemoryTokens);
    }
}
