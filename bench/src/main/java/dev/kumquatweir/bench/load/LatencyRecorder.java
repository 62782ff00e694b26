package dev.kumquatweir.bench.load;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Times in microseconds, up to two hours. Thread-safe. */
final class LatencyRecorder {
    private static final long LONGEST_MICROS = TimeUnit.HOURS.toMicros(2);
    private static final int DIGITS = 3;

    private final ConcurrentHistogram mHistogram = new ConcurrentHistogram(LONGEST_MICROS, DIGITS);

    void recordNanos(long nanos) {
        long micros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos));
        mHistogram.recordValue(Math.min(micros, LONGEST_MICROS));
    }

    /** Returns a copy. */
    Histogram snapshot() {
        return mHistogram.copy();
    }
}
