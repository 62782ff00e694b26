package dev.kumquatweir.program.instance;

import dev.kumquatweir.agreement.port.StorageFailure;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.time.Clocks;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * Repeats a step of a start that fails for a reason outside the process that may pass: a full disk,
 * a data folder or an address that the process before still uses. A process that ended instead
 * would be started again and again, each time with the cost of a start. Stateless.
 */
public final class StartRetry {
    private static final EventLog LOG = EventLog.of(StartRetry.class);
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private StartRetry() {}

    /**
     * Blocks until the step succeeds; logs once a second why it waits.
     *
     * @param step name of the step, for the log
     * @param attempt the step, which leaves nothing behind when it fails
     * @throws FailureException if the step fails for a reason that doesn't pass by waiting
     */
    public static <T> T await(
            String step, Clocks clocks, Supplier<Either<? extends Failure, T>> attempt) {
        long startNanos = clocks.nowNanos();
        long nextLogNanos = startNanos;
        while (true) {
            Either<? extends Failure, T> result = attempt.get();
            if (result.isRight()) {
                return result.get();
            }
            Failure failure = result.getLeft();
            if (!isTemporary(failure)) {
                throw new FailureException(failure);
            }
            long nowNanos = clocks.nowNanos();
            if (nowNanos - nextLogNanos >= 0) {
                nextLogNanos = nowNanos + LOG_INTERVAL_NANOS;
                long waitedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
                LOG.failure("start_waiting", failure, "step", step, "waited_ms", waitedMillis);
            }
            LockSupport.parkNanos(RETRY_NANOS);
        }
    }

    /** Returns whether a failure may pass while the process waits. */
    static boolean isTemporary(Failure failure) {
        return switch (failure) {
            case StorageFailure.DiskFull _ -> true;
            case StorageFailure.Unusable unusable -> unusable.temporary();
            // The networks in use report the reason as the text of the system error only.
            default -> failure.message().contains("Address already in use");
        };
    }
}
