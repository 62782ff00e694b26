package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Retires an upstream, or takes that back. */
@Command(name = "retire", description = "Give an upstream no new work")
@Examples(
        examples = "kumquatweir upstream retire engine-7 --yes",
        descriptions = "Retires engine-7; its running work finishes")
public final class UpstreamRetireCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Id of the upstream")
    @Required
    private String mName = "";

    @Option(name = "--yes", description = "Do not ask before the change")
    private boolean mYes;

    @Option(
            name = "--allow-unknown",
            description = "Take a name that no upstream or instance has at present")
    private boolean mAllowUnknown;

    @Option(name = "--undo", description = "Give the upstream new work again")
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
