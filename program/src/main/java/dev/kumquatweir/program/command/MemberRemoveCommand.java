package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Removes a member from the Raft group. */
@Command(name = "remove", description = "Remove a member of the group")
@Examples(
        examples = "kumquatweir member remove entry-3 --yes",
        descriptions = "Removes entry-3 from the group")
public final class MemberRemoveCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Id of the instance")
    @Required
    private String mName = "";

    @Option(name = "--yes", description = "Make the change without asking for confirmation")
    private boolean mYes;

    @Override
    ExitStatus run(OperatorClient client) {
        confirm(mYes, "remove member " + mName + "?");
        return MemberChangeOutput.print(
                this, client.post("members/remove", body().put("name", mName)));
    }
}
