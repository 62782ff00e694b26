package dev.kumquatweir.gateway.http;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Counts and logs the connections that their limits close. Thread-safe. */
final class LimitCounters {
    private static final EventLog LOG = EventLog.of(LimitCounters.class);

    /** At most one line in this time on average, with bursts of {@link #MAXIMUM_LINES}. */
    private static final long LINE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final int MAXIMUM_LINES = 100;

    private final MetricRegistry mMetrics;
    private final AtomicLong mNextLineNanos;

    LimitCounters(MetricRegistry metrics, long nowNanos) {
        mMetrics = metrics;
        mNextLineNanos = new AtomicLong(nowNanos);
        for (LimitCause cause : LimitCause.values()) {
            metrics.counter(name(cause));
        }
    }

    void count(String name, Channel channel, LimitCause cause, long bytes, long nowNanos) {
        mMetrics.counter(name(cause)).inc();
        long burstNanos = MAXIMUM_LINES * LINE_NANOS;
        long before =
                mNextLineNanos.getAndUpdate(
                        next ->
                                next - nowNanos > burstNanos
                                        ? next
                                        : Math.max(next, nowNanos) + LINE_NANOS);
        if (before - nowNanos <= burstNanos) {
            LOG.warn(
                    "connection_outside_limits",
                    "listener",
                    name,
                    "peer",
                    String.valueOf(channel.remoteAddress()),
                    "cause",
                    cause.label(),
                    "bytes",
                    bytes);
        }
    }

    private static String name(LimitCause cause) {
        return "kumquatweir_connection_limit_" + cause.label();
    }
}
