package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Replaces the replica of a member whose disk was lost. */
@Command(name = "replace", description = "Replace a member whose disk was lost")
@Examples(
        examples = "kumquatweir member replace entry-2 --yes",
        descriptions = "Replaces the lost store of entry-2 by its new one")
public final class MemberReplaceCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Id of the instance")
    @Required
    private String mName = "";

    @Option(name = "--yes", description = "Make the change without asking for confirmation")
    private boolean mYes;

    @Option(
            name = "--address",
            title = "IP:PORT",
            description = "Peer address; needed if the instances' settings do not list it")
    private String mAddress = "";

    @Option(
            name = "--store",
            title = "ID",
            description = "Store id of the instance; read from the instance if absent")
    private String mStore = "";

    @Override
    ExitStatus run(OperatorClient client) {
        confirm(mYes, "replace member " + mName + "? Its old store will never vote again.");
        return MemberChangeOutput.print(
                this,
                client.post(
                        "members/replace",
                        body().put("name", mName).put("address", mAddress).put("store", mStore)));
    }
}
