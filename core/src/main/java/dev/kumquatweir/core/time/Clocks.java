package dev.kumquatweir.core.time;

import java.util.function.LongSupplier;

/**
 * The clocks of a process. Thread-safe.
 *
 * @param monotonicNanos nanoseconds that never run back; only differences mean something
 * @param wallMillis milliseconds since 1970, which operators or the platform may set
 */
public record Clocks(LongSupplier monotonicNanos, LongSupplier wallMillis) {
    /** Returns the clocks of the system. */
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
