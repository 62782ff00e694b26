package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.fleet.FleetDaemon;
import dev.kumquatweir.program.log.RingLogHandler;
import dev.kumquatweir.settings.FleetSettings;
import dev.kumquatweir.settings.FleetSettingsReader;
import dev.kumquatweir.settings.SettingsFailure;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Runs an instance that discovers its peers from seed nodes, until it receives SIGTERM. */
@Command(name = "fleet", description = "Run an instance that discovers its peers from seed nodes")
@Examples(
        examples = "kumquatweir fleet /etc/kumquatweir/node.toml",
        descriptions = "Runs the entry or control instance that the settings describe")
public final class FleetCommand implements Callable<Integer> {
    private static final EventLog LOG = EventLog.of(FleetCommand.class);

    /** The settings file is polled, since it may change without a signal to the process. */
    private static final long RELOAD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    @Arguments(title = "FILE", description = "Settings of the instance, in TOML")
    @Required
    private String mFile = "";

    @Override
    public Integer call() {
        RingLogHandler.useStandardOutput();
        ProcessSupport.ignoreHangupSignal();
        Path file = Path.of(mFile);
        Either<SettingsFailure, FleetSettings> settings = FleetSettingsReader.readFile(file);
        if (settings.isLeft()) {
            LOG.failure("settings_refused", settings.getLeft());
            System.err.println(settings.getLeft().message());
            return ExitStatus.BAD_INPUT.code();
        }
        try {
            FleetDaemon daemon =
                    new FleetDaemon(
                            settings.get(),
                            Clocks.system(),
                            () ->
                                    ProcessSupport.openStore(
                                            settings.get().dataFolder().orElseThrow()),
                            ProcessSupport::haltProcess);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
            daemon.start();
            reloadOnChange(file, settings.get(), daemon);
            return ExitStatus.SUCCESS.code();
        } catch (FailureException exception) {
            LOG.failure("instance_not_started", exception.failure());
            return ExitStatus.FAILED.code();
        }
    }

    private static void stop(FleetDaemon daemon) {
        daemon.stop();
        ProcessSupport.flushLog();
        // Without halt the JVM exits with status 143 after SIGTERM.
        Runtime.getRuntime().halt(ExitStatus.SUCCESS.code());
    }

    private static void reloadOnChange(Path file, FleetSettings initial, FleetDaemon daemon) {
        FleetSettings current = initial;
        while (!Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(RELOAD_INTERVAL_NANOS);
            Either<SettingsFailure, FleetSettings> reread = FleetSettingsReader.readFile(file);
            if (reread.isLeft()) {
                LOG.failure("settings_not_reloaded", reread.getLeft());
            } else if (!reread.get().equals(current)) {
                current = reread.get();
                daemon.reload(current);
            }
        }
    }
}
