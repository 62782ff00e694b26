package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Returns a failure domain to service. */
@Command(name = "in", description = "Return a failure domain to service")
@Examples(examples = "kumquatweir domain in klang-a", descriptions = "Returns klang-a to service")
public final class DomainInCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Name of the failure domain")
    @Required
    private String mName = "";

    @Override
    ExitStatus run(OperatorClient client) {
        return change(client, "domains/in", body().put("domain", mName));
    }
}
