package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;

/** Lists the members of the Raft group. */
@Command(name = "list", description = "List the members of the group")
@Examples(examples = "kumquatweir member list", descriptions = "Lists voters and learners")
public final class MemberListCommand extends OperatorCommand {
    @Override
    ExitStatus run(OperatorClient client) {
        JsonNode response = client.get("members");
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("MEMBER", "ROLE", "ADDRESS", "STORE", "LEADER"));
        response.path("members")
                .forEach(
                        member ->
                                rows.add(
                                        List.of(
                                                member.path("name").asText(),
                                                member.path("role").asText(),
                                                member.path("address").asText(),
                                                member.path("store").asText(),
                                                member.path("name").equals(response.path("leader"))
                                                        ? "yes"
                                                        : "")));
        return print(response, rows);
    }
}
