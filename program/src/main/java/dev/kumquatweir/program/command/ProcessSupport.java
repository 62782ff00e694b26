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

/** What the commands that run a daemon share. Holds no state. */
public final class ProcessSupport {
    private static final EventLog LOG = EventLog.of(ProcessSupport.class);

    private ProcessSupport() {}

    /** Opens the store of a data folder. */
    static LogStore store(Path folder) {
        try {
            return new FileLogStore(DiskFolder.open(folder));
        } catch (IOException exception) {
            throw new FailureException(
                    new StartFailure.NoDataFolder(
                            folder.toString(), String.valueOf(exception.getMessage())));
        }
    }

    /** Ends at once: what the replica would do next could contradict what it promised. */
    static void endProcess() {
        LOG.warn("process_ended", "reason", "the replica can't go on safely");
        flushLog();
        Runtime.getRuntime().halt(ExitStatus.FAILED.code());
    }

    /**
     * Keeps SIGHUP, which tells of changed settings here, from ending the process as the JVM does
     * by default. The signal API is no part of the platform that the compiler sees.
     */
    static void ignoreHangUp() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ignoring =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                LOG.info("hang_up_received");
                                return null;
                            });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, ignoring);
        } catch (ReflectiveOperationException fault) {
            LOG.error("hang_up_not_handled", fault);
        }
    }

    /** Waits a moment until what was logged is written; due before the process ends. */
    public static void flushLog() {
        Arrays.stream(Logger.getLogger("").getHandlers()).forEach(Handler::flush);
    }
}
