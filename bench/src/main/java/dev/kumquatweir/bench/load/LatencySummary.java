package dev.kumquatweir.bench.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a time in milliseconds. Immutable.
 *
 * @param count recorded values
 * @param least least value
 * @param p50 half of the values are at most this
 * @param p95 95 in 100 are at most this
 * @param p99 99 in 100 are at most this
 * @param most greatest value
 */
public record LatencySummary(
        long count, double least, double p50, double p95, double p99, double most) {
    private static final double MICROS_PER_MILLI = 1e3;

    static LatencySummary of(Histogram micros) {
        return new LatencySummary(
                micros.getTotalCount(),
                micros.getTotalCount() == 0 ? 0 : micros.getMinValue() / MICROS_PER_MILLI,
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI);
    }

    /** Returns the values divided by a baseline in milliseconds. */
    LatencySummary dividedBy(double baseline) {
        return new LatencySummary(
                count,
                least / baseline,
                p50 / baseline,
                p95 / baseline,
                p99 / baseline,
                most / baseline);
    }

    /** Returns the summary as key=value pairs. */
    String text(String unit) {
        return "count=%d least%s=%.2f p50%s=%.2f p95%s=%.2f p99%s=%.2f most%s=%.2f"
                .formatted(count, unit, least, unit, p50, unit, p95, unit, p99, unit, most);
    }
}
