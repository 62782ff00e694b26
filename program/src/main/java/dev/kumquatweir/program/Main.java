package dev.kumquatweir.program;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;

/** Entry point of the one binary: parses the command line and runs a subcommand. */
@Cli(
        name = "kumquatweir",
        description = "Serving layer for prompts of very unlike lengths",
        defaultCommand = Help.class,
        commands = {Help.class})
public final class Main {
    private Main() {}

    /** Runs the command and exits with its status: 0 for success. */
    public static void main(String[] arguments) {
        com.github.rvesse.airline.Cli<Runnable> commands =
                new com.github.rvesse.airline.Cli<>(Main.class);
        commands.parse(arguments).run();
    }
}
