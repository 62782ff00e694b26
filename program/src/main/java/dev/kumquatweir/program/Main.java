package dev.kumquatweir.program;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import dev.kumquatweir.program.command.BenchCommand;
import dev.kumquatweir.program.command.CheckCommand;
import dev.kumquatweir.program.command.ExitStatus;
import dev.kumquatweir.program.command.LoadCommand;
import dev.kumquatweir.program.command.ServeCommand;
import dev.kumquatweir.program.command.StandinEngineCommand;
import dev.kumquatweir.program.command.StandinServiceCommand;
import java.util.concurrent.Callable;

/** Entry point of the one binary: parses the command line and runs a subcommand. */
@Cli(
        name = "kumquatweir",
        description = "Serving layer for prompts of very unlike lengths",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            ServeCommand.class,
            CheckCommand.class,
            LoadCommand.class,
            BenchCommand.class
        },
        groups = {
            @Group(
                    name = "standin",
                    description = "Stand-ins for development",
                    commands = {StandinEngineCommand.class, StandinServiceCommand.class})
        })
public final class Main {
    private Main() {}

    /** Runs the command and exits with its status, see {@link ExitStatus}. */
    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) throws Exception {
        com.github.rvesse.airline.Cli<Callable<?>> commands =
                new com.github.rvesse.airline.Cli<>(Main.class);
        try {
            Object status = commands.parse(arguments).call();
            return status instanceof Integer code ? code : ExitStatus.SUCCESS.code();
        } catch (ParseException exception) {
            System.err.println(exception.getMessage());
            System.err.println("See 'kumquatweir help' for the commands and their options.");
            return ExitStatus.BAD_INPUT.code();
        }
    }
}
