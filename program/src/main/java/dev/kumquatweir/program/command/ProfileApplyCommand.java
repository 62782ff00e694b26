package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Adds a profile to the newest configuration, or replaces it there. */
@Command(name = "apply", description = "Add or replace one profile")
@Examples(
        examples = "kumquatweir profile apply dossier.toml",
        descriptions = "Adds the profile in the file to the newest configuration")
public final class ProfileApplyCommand extends OperatorCommand {
    @Arguments(title = "FILE", description = "TOML file with one [[profiles]] table")
    @Required
    private String mFile = "";

    @Override
    ExitStatus run(OperatorClient client) {
        return change(client, "profiles", body().put("toml", CommandFiles.read(mFile)));
    }
}
