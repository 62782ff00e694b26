package dev.kumquatweir.program.system;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for facts by polling with a generous limit, so that a slow machine fails no test. */
final class Waiting {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(90);
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private Waiting() {}

    static void until(String what, BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > LIMIT_NANOS) {
                throw new AssertionError("did not happen: " + what);
            }
            pause();
        }
    }

    /** Lets a short time pass between two tries. */
    static void pause() {
        LockSupport.parkNanos(PAUSE_NANOS);
    }

    /** Lets a fault last this long. */
    static void during(Duration duration) {
        long start = System.nanoTime();
        while (System.nanoTime() - start < duration.toNanos()) {
            pause();
        }
    }
}
