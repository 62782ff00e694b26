package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Prints the responses to membership changes. Stateless. */
final class MemberChangeOutput {
    private MemberChangeOutput() {}

    /**
     * Prints the members and returns the exit status: {@link ExitStatus#NOT_YET_IN_FORCE} while a
     * learner still has to catch up.
     */
    static ExitStatus print(OperatorCommand command, JsonNode response) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("MEMBER", "ROLE", "STORE"));
        response.path("members")
                .forEach(
                        member ->
                                rows.add(
                                        List.of(
                                                member.path("name").asText(),
                                                member.path("role").asText(),
                                                member.path("store").asText())));
        command.print(response, rows);
        if (response.path("complete").asBoolean(true)) {
            return ExitStatus.SUCCESS;
        }
        System.err.println("waiting: " + response.path("waiting").path("message").asText());
        System.err.println("next: run the same command again; it goes on where it stopped");
        return ExitStatus.NOT_YET_IN_FORCE;
    }
}
