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
import org.jspecify.annotations.Nullable;

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

    private volatile @Nullable FleetDaemon mDaemon;
    private volatile @Nullable String mFailure;

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
        settings.get()
                .dataFolder()
                .ifPresent(
                        folder -> LOG.info("process_started", "previous", StopMarker.take(folder)));
        // Registered before the start, which may wait for long, so that SIGTERM ends it as well.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(settings.get()), "shutdown"));
        try {
            run(file, settings.get());
            return ExitStatus.SUCCESS.code();
        } catch (FailureException exception) {
            LOG.failure("instance_not_started", exception.failure());
            mFailure = exception.failure().code();
        } catch (RuntimeException fault) {
            LOG.error("instance_not_started", fault);
            mFailure = fault.toString();
        }
        return ExitStatus.FAILED.code();
    }

    private void run(Path file, FleetSettings settings) {
        FleetDaemon daemon =
                new FleetDaemon(
                        settings,
                        Clocks.system(),
                        () -> ProcessSupport.openStore(settings.dataFolder().orElseThrow()),
                        ProcessSupport::haltProcess);
        mDaemon = daemon;
        daemon.start();
        reloadOnChange(file, settings, daemon);
    }

    private void stop(FleetSettings settings) {
        FleetDaemon daemon = mDaemon;
        if (daemon != null) {
            daemon.stop();
        }
        String failure = mFailure;
        if (failure != null) {
            ProcessSupport.end(ExitStatus.FAILED, failure);
        }
        settings.dataFolder().ifPresent(StopMarker::leave);
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
