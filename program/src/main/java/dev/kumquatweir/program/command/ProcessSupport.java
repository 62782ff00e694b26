package dev.kumquatweir.program.command;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.program.instance.StartFailure;
import dev.kumquatweir.storage.DiskFolder;
import dev.kumquatweir.storage.FileLogStore;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.logging.Handler;
import java.util.logging.Logger;

/** Process-level helpers of the commands that run a daemon. Stateless. */
public final class ProcessSupport {
    private static final EventLog LOG = EventLog.of(ProcessSupport.class);

    private ProcessSupport() {}

    /**
     * Opens the Raft log store in a data folder; throws {@link FailureException} on an I/O error.
     */
    static LogStore openStore(Path folder) {
        try {
            return new FileLogStore(DiskFolder.open(folder));
        } catch (IOException exception) {
            throw new FailureException(
                    new StartFailure.NoDataFolder(
                            folder.toString(), String.valueOf(exception.getMessage())));
        }
    }

    /**
     * Halts the process after a fatal failure of the store or the replica: further steps of the
     * replica could contradict votes or acknowledgements that it has already sent.
     */
    static void haltProcess() {
        LOG.warn("process_ended", "reason", "the replica can't go on safely");
        flushLog();
        Runtime.getRuntime().halt(ExitStatus.FAILED.code());
    }

    /**
     * Ignores SIGHUP, which announces changed settings, since by default it ends the JVM. The
     * signal classes are looked up by reflection because they are not part of the public API that
     * the compiler allows.
     */
    static void ignoreHangupSignal() {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object loggingHandler =
                    Proxy.newProxyInstance(
                            handlerClass.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (proxy, method, arguments) -> {
                                LOG.info("hang_up_received");
                                return null;
                            });
            Object hangupSignal = signalClass.getConstructor(String.class).newInstance("HUP");
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, hangupSignal, loggingHandler);
        } catch (ReflectiveOperationException fault) {
            LOG.error("hang_up_not_handled", fault);
        }
    }

    /** Flushes all log handlers; must run before the process exits. */
    public static void flushLog() {
        Arrays.stream(Logger.getLogger("").getHandlers()).forEach(Handler::flush);
    }
}
