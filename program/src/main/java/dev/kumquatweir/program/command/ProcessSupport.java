package dev.kumquatweir.program.command;

import dev.kumquatweir.agreement.port.LogStore;
import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.program.instance.StartFailure;
import dev.kumquatweir.storage.DiskFolder;
import dev.kumquatweir.storage.FileLogStore;
import dev.kumquatweir.storage.NoSpaceException;
import io.vavr.control.Either;
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

    /** Opens the Raft log store in a data folder. */
    static Either<Failure, LogStore> openStore(Path folder) {
        try {
            return Either.right(new FileLogStore(DiskFolder.open(folder)));
        } catch (NoSpaceException full) {
            return Either.left(new StorageFailure.DiskFull(full.location()));
        } catch (IOException exception) {
            return Either.left(
                    new StartFailure.NoDataFolder(
                            folder.toString(), String.valueOf(exception.getMessage())));
        }
    }

    /**
     * Halts the process after a fatal failure of the store or the replica: further steps of the
     * replica could contradict votes or acknowledgements that it has already sent.
     */
    static void haltProcess() {
        end(ExitStatus.FAILED, "the replica can't go on safely");
    }

    /**
     * Ends the process without running shutdown hooks. The last line of its log tells why: a
     * process that ends without this line was ended by a signal.
     */
    static void end(ExitStatus status, String cause) {
        LOG.warn("process_ended", "status", status.code(), "cause", cause);
        flushLog();
        Runtime.getRuntime().halt(status.code());
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
