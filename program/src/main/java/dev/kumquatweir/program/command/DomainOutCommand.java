package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes a failure domain out of service. Prints the remaining capacity first, and asks for
 * confirmation if a profile would lose its last upstream.
 */
@Command(
        name = "out",
        description = "Take a failure domain out of service: no new requests go to it")
@Examples(
        examples = "kumquatweir domain out klang-a",
        descriptions = "Shows the capacity that remains without klang-a and takes it out")
public final class DomainOutCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Name of the failure domain")
    @Required
    private String mName = "";

    @Option(name = "--yes", description = "Make the change without asking for confirmation")
    private boolean mYes;

    @Option(name = "--allow-unknown", description = "Accept a name that is not known at present")
    private boolean mAllowUnknown;

    @Override
    ExitStatus run(OperatorClient client) {
        List<RemainingCapacity> capacities =
                RemainingCapacity.without(
                        client.get("configuration").path("document"),
                        client.get("status").path("upstreams"),
                        mName);
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("PROFILE", "SERVICE", "UPSTREAMS NOW", "WITHOUT " + mName));
        capacities.forEach(
                capacity ->
                        rows.add(
                                List.of(
                                        capacity.profile(),
                                        capacity.service(),
                                        "" + capacity.servingNow(),
                                        "" + capacity.servingWithoutDomain())));
        TextTable.lines(rows).forEach(System.err::println);
        List<String> profilesWithoutUpstream =
                capacities.stream()
                        .filter(RemainingCapacity::removesLastUpstream)
                        .map(RemainingCapacity::profile)
                        .toList();
        if (!profilesWithoutUpstream.isEmpty()) {
            confirm(
                    mYes,
                    "profiles "
                            + profilesWithoutUpstream
                            + " would have no upstream left; continue?");
        }
        return change(
                client,
                "domains/out",
                body().put("domain", mName).put("allow_unknown", mAllowUnknown));
    }
}
