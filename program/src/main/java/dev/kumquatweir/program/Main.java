package dev.kumquatweir.program;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.program.command.BenchCommand;
import dev.kumquatweir.program.command.CheckCommand;
import dev.kumquatweir.program.command.ConfigApplyCommand;
import dev.kumquatweir.program.command.ConfigDiffCommand;
import dev.kumquatweir.program.command.ConfigHistoryCommand;
import dev.kumquatweir.program.command.DomainInCommand;
import dev.kumquatweir.program.command.DomainListCommand;
import dev.kumquatweir.program.command.DomainOutCommand;
import dev.kumquatweir.program.command.ExitStatus;
import dev.kumquatweir.program.command.FleetCommand;
import dev.kumquatweir.program.command.LoadCommand;
import dev.kumquatweir.program.command.MemberAddCommand;
import dev.kumquatweir.program.command.MemberListCommand;
import dev.kumquatweir.program.command.MemberRemoveCommand;
import dev.kumquatweir.program.command.MemberReplaceCommand;
import dev.kumquatweir.program.command.ProcessSupport;
import dev.kumquatweir.program.command.ProfileApplyCommand;
import dev.kumquatweir.program.command.ProfileExplainCommand;
import dev.kumquatweir.program.command.ProfileListCommand;
import dev.kumquatweir.program.command.ProfileShowCommand;
import dev.kumquatweir.program.command.ReportBurnCommand;
import dev.kumquatweir.program.command.ServeCommand;
import dev.kumquatweir.program.command.StandinEngineCommand;
import dev.kumquatweir.program.command.StandinServiceCommand;
import dev.kumquatweir.program.command.StatusCommand;
import dev.kumquatweir.program.command.TraceCommand;
import dev.kumquatweir.program.command.UpstreamListCommand;
import dev.kumquatweir.program.command.UpstreamRetireCommand;
import dev.kumquatweir.program.command.WarmCommand;
import java.util.concurrent.Callable;

/** Entry point of the program: parses the command line and runs the selected subcommand. */
@Cli(
        name = "kumquatweir",
        description = "Serving layer for prompts of very different lengths",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            ServeCommand.class,
            FleetCommand.class,
            CheckCommand.class,
            WarmCommand.class,
            StatusCommand.class,
            TraceCommand.class,
            LoadCommand.class,
            BenchCommand.class
        },
        groups = {
            @Group(
                    name = "profile",
                    description = "Profiles: how classes of requests are served",
                    commands = {
                        ProfileListCommand.class,
                        ProfileShowCommand.class,
                        ProfileExplainCommand.class,
                        ProfileApplyCommand.class
                    }),
            @Group(
                    name = "upstream",
                    description = "Upstreams: engines and services",
                    commands = {UpstreamListCommand.class, UpstreamRetireCommand.class}),
            @Group(
                    name = "domain",
                    description = "Failure domains",
                    commands = {
                        DomainListCommand.class,
                        DomainOutCommand.class,
                        DomainInCommand.class
                    }),
            @Group(
                    name = "member",
                    description = "Members of the group that replicates the configuration",
                    commands = {
                        MemberListCommand.class,
                        MemberAddCommand.class,
                        MemberRemoveCommand.class,
                        MemberReplaceCommand.class
                    }),
            @Group(
                    name = "config",
                    description = "Versions of the configuration",
                    commands = {
                        ConfigHistoryCommand.class,
                        ConfigDiffCommand.class,
                        ConfigApplyCommand.class
                    }),
            @Group(
                    name = "report",
                    description = "Reports on the service",
                    commands = {ReportBurnCommand.class}),
            @Group(
                    name = "standin",
                    description = "Stand-in engines and services for development",
                    commands = {StandinEngineCommand.class, StandinServiceCommand.class})
        })
public final class Main {
    private static final EventLog LOG = EventLog.of(Main.class);

    private Main() {}

    /** Runs the command and exits with its status; see {@link ExitStatus}. */
    public static void main(String[] arguments) {
        int status = ExitStatus.FAILED.code();
        try {
            status = run(arguments);
        } catch (Exception | Error fault) {
            // The process would otherwise go on without its main thread.
            LOG.error("command_failed", fault);
        }
        ProcessSupport.flushLog();
        System.exit(status);
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
