package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Retires an upstream, or returns a retired one to service. */
@Command(name = "retire", description = "Retire an upstream: no new requests go to it")
@Examples(
        examples = "kumquatweir upstream retire engine-7 --yes",
        descriptions = "Retires engine-7; its running requests finish")
public final class UpstreamRetireCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Id of the upstream")
    @Required
    private String mName = "";

    @Option(name = "--yes", description = "Make the change without asking for confirmation")
    private boolean mYes;

    @Option(name = "--allow-unknown", description = "Accept a name that is not known at present")
    private boolean mAllowUnknown;

    @Option(name = "--undo", description = "Return the upstream to service")
    private boolean mUndo;

    @Override
    ExitStatus run(OperatorClient client) {
        if (!mUndo) {
            confirm(mYes, "retire upstream " + mName + "?");
        }
        return change(
                client,
                mUndo ? "upstreams/unretire" : "upstreams/retire",
                body().put("upstream", mName).put("allow_unknown", mAllowUnknown));
    }
}
