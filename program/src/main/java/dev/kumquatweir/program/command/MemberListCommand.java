package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

/** Lists the members of the group. */
@Command(name = "list", description = "List the members of the group")
@Examples(examples = "kumquatweir member list", descriptions = "Lists voters and learners")
public final class MemberListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode answer = client.get("members");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("MEMBER", "ROLE", "ADDRESS", "STORE", "LEADER"));
        answer.path("members")
                .forEach(
                        entry ->
                                rows.add(
                                        List.of(
                                                entry.path("name").asText(),
                                                entry.path("role").asText(),
                                                entry.path("address").asText(),
                                                entry.path("store").asText(),
                                                entry.path("name").equals(answer.path("leader"))
                                                        ? "yes"
                                                        : "")));
        return print(answer, rows);
    }
}
