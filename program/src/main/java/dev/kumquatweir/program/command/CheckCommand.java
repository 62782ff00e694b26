package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.settings.ConfigurationReader;
import dev.kumquatweir.settings.InstanceSettingsReader;
import dev.kumquatweir.settings.SettingsFailure;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.concurrent.Callable;

/** Validates a settings or configuration file without starting an instance. */
@Command(name = "check", description = "Validate a settings file and report all errors")
@Examples(
        examples = {"kumquatweir check entry-1.toml", "kumquatweir check -c profiles.toml"},
        descriptions = {"Validates the settings of an instance", "Validates a configuration"})
public final class CheckCommand implements Callable<Integer> {
    @Arguments(title = "FILE", description = "The file to validate")
    @Required
    private String mFile = "";

    @Option(
            name = {"-c", "--configuration"},
            description = "The file is a configuration (profiles, teams, services)")
    private boolean mConfiguration;

    @Override
    public Integer call() {
        Either<SettingsFailure, ?> result =
                mConfiguration
                        ? ConfigurationReader.readFile(Path.of(mFile))
                        : InstanceSettingsReader.readFile(Path.of(mFile));
        System.out.println(result.isRight() ? mFile + ": no errors" : result.getLeft().message());
        return result.isRight() ? ExitStatus.SUCCESS.code() : ExitStatus.BAD_INPUT.code();
    }
}
