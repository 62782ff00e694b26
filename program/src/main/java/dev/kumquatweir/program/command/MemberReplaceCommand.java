package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Replaces a member whose disk was lost. */
@Command(name = "replace", description = "Replace a member whose disk was lost")
@Examples(
        examples = "kumquatweir member replace entry-2 --yes",
        descriptions = "Takes the new store of entry-2 in place of the lost one")
public final class MemberReplaceCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Id of the instance")
    @Required
    private String mName = "";

    @Option(name = "--yes", description = "Do not ask before the change")
    private boolean mYes;

    @Option(
            name = "--address",
            title = "IP:PORT",
            description = "Peer address, if the settings of the instances do not name it")
    private String mAddress = "";

    @Option(
            name = "--store",
            title = "ID",
            description = "Store id of the instance; asked from it if absent")
    private String mStore = "";

    @Override
    ExitStatus run(OperatorClient client) {
        confirm(mYes, "replace member " + mName + "? Its old store never votes again.");
        return MemberChangeOutput.print(
                this,
                client.post(
                        "members/replace",
                        body().put("name", mName).put("address", mAddress).put("store", mStore)));
    }
}
