package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Replaces the whole configuration. */
@Command(name = "apply", description = "Replace the whole configuration")
@Examples(
        examples = "kumquatweir config apply --base 7 configuration.toml",
        descriptions = "Replaces version 7 by the file, or fails if there is a newer version")
public final class ConfigApplyCommand extends OperatorCommand {
    @Arguments(title = "FILE", description = "TOML file with services, profiles and teams")
    @Required
    private String mFile = "";

    @Option(
            name = "--base",
            title = "VERSION",
            description = "Version that the file is based on; fails if a newer one exists")
    @Required
    private long mBase;

    @Override
    ExitStatus run(OperatorClient client) {
        ObjectNode body = body().put("toml", CommandFiles.read(mFile)).put("base_version", mBase);
        return change(client, "configuration", body);
    }
}
