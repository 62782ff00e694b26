package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;

/** Takes a failure domain out of service. */
@Command(name = "out", description = "Give a failure domain no new work")
@Examples(
        examples = "kumquatweir domain out klang-a",
        descriptions = "Shows what remains without klang-a and takes it out")
public final class DomainOutCommand extends OperatorCommand {
    @Arguments(title = "NAME", description = "Name of the failure domain")
    @Required
    private String mName = "";

    @Option(name = "--yes", description = "Do not ask before the change")
    private boolean mYes;

    @Option(
            name = "--allow-unknown",
            description = "Take a name that no upstream or instance has at present")
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
                    "profiles " + profilesWithoutUpstream + " would have no upstream left; go on?");
        }
        return change(
                client,
                "domains/out",
                body().put("domain", mName).put("allow_unknown", mAllowUnknown));
    }
}
