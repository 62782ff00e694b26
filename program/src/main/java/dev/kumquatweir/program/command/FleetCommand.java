package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.fleet.FleetDaemon;
import dev.kumquatweir.program.log.RingLogHandler;
import dev.kumquatweir.settings.FleetSettings;
import dev.kumquatweir.settings.FleetSettingsReader;
import dev.kumquatweir.settings.SettingsFailure;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.Optional;
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
        Optional<StopMarker> marker = settings.get().dataFolder().map(StopMarker::new);
        ServiceProcess process = new ServiceProcess(marker);
        return process.run(() -> run(file, settings.get(), marker, process)).code();
    }

    private static ExitStatus run(
            Path file,
            FleetSettings settings,
            Optional<StopMarker> marker,
            ServiceProcess process) {
        FleetDaemon daemon =
                new FleetDaemon(
                        settings,
                        Clocks.system(),
                        () ->
                                ProcessSupport.openStore(settings.dataFolder().orElseThrow())
                                        .map(marker.orElseThrow()::attach),
                        ProcessSupport::haltProcess);
        process.onStop(daemon::stop);
        daemon.start();
        reloadOnChange(file, settings, daemon);
        return ExitStatus.SUCCESS;
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
