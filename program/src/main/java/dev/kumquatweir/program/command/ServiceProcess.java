package dev.kumquatweir.program.command;

import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;

/**
 * Start and end of a process that runs until it receives SIGTERM. The shutdown hook runs for
 * SIGTERM, also while the start waits, and for the exit after a failed start.
 */
final class ServiceProcess {
    private static final EventLog LOG = EventLog.of(ServiceProcess.class);

    private final Optional<StopMarker> mMarker;
    private volatile Runnable mStop = () -> {};
    private volatile @Nullable String mFailure;

    /**
     * @param marker records planned stops, if the process has a data folder
     */
    ServiceProcess(Optional<StopMarker> marker) {
        mMarker = marker;
    }

    /** Sets what ends the parts of the process that run by now. */
    void onStop(Runnable stop) {
        mStop = stop;
    }

    /**
     * Runs the process.
     *
     * @param body starts the parts and blocks
     * @return status to exit with
     */
    ExitStatus run(Callable<ExitStatus> body) {
        // Registered before the start, which may wait for long, so that SIGTERM ends it as well.
        Runtime.getRuntime().addShutdownHook(new Thread(this::end, "shutdown"));
        try {
            return body.call();
        } catch (FailureException exception) {
            LOG.failure("instance_not_started", exception.failure());
            mFailure = exception.failure().code() + ": " + exception.failure().message();
        } catch (Exception | Error fault) {
            LOG.error("instance_not_started", fault);
            mFailure = fault.toString();
        }
        return ExitStatus.FAILED;
    }

    private void end() {
        // Read first: a start that fails because its parts stop doesn't make the stop a failure.
        String failure = mFailure;
        if (failure == null) {
            mMarker.ifPresent(StopMarker::beginStop);
        }
        try {
            mStop.run();
        } catch (RuntimeException | Error fault) {
            // The JVM would exit with the status of the signal, and without the last log line.
            LOG.error("stop_incomplete", fault);
        }
        if (failure != null) {
            ProcessSupport.end(ExitStatus.FAILED, failure);
        }
        mMarker.ifPresent(StopMarker::leave);
        ProcessSupport.flushLog();
        // Without halt the JVM exits with status 143 after SIGTERM.
        Runtime.getRuntime().halt(ExitStatus.SUCCESS.code());
    }
}
