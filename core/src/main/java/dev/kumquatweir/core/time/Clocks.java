package dev.kumquatweir.core.time;

import java.util.function.LongSupplier;

/**
 * The clocks of a process. Thread-safe.
 *
 * @param monotonicNanos nanoseconds that never go back; only differences are meaningful
 * @param wallMillis milliseconds since 1970; may jump when an operator or the platform sets the
 *     clock
 */
public record Clocks(LongSupplier monotonicNanos, LongSupplier wallMillis) {
    /** Returns the system clocks. */
    public static Clocks system() {
        return new Clocks(System::nanoTime, System::currentTimeMillis);
    }

    /** Returns the present monotonic time in nanoseconds. */
    public long nowNanos() {
        return monotonicNanos.getAsLong();
    }

    /** Returns the present wall-clock time in milliseconds since 1970. */
    public long nowMillis() {
        return wallMillis.getAsLong();
    }
}
