package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Adds an instance to the Raft group, first as a learner. */
@Command(name = "add", description = "Add an instance to the group")
@Examples(
        examples = "kumquatweir member add entry-5",
        descriptions = "Adds entry-5 as a learner and promotes it when it has caught up")
public final class MemberAddCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Id of the instance")
    @Required
    private String mName = "";

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
        return MemberChangeOutput.print(
                this,
                client.post(
                        "members/add",
                        body().put("name", mName).put("address", mAddress).put("store", mStore)));
    }
}
