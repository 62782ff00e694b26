package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Shows the answers to changes of the members. Holds no state. */
final class MemberAnswers {
    private MemberAnswers() {}

    /** Prints the members; a learner that has yet to catch up is no success. */
    static ExitStatus print(OperatorCommand command, JsonNode answer) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("MEMBER", "ROLE", "STORE"));
        answer.path("members")
                .forEach(
                        member ->
                                rows.add(
                                        List.of(
                                                member.path("name").asText(),
                                                member.path("role").asText(),
                                                member.path("store").asText())));
        command.print(answer, rows);
        if (answer.path("complete").asBoolean(true)) {
            return ExitStatus.SUCCESS;
        }
        System.err.println("waiting: " + answer.path("waiting").path("message").asText());
        System.err.println("next: run the same command again; it goes on where it stopped");
        return ExitStatus.NOT_YET_IN_FORCE;
    }
}
