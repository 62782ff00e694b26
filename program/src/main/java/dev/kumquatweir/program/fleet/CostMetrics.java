package dev.kumquatweir.program.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.policy.cost.CostAccuracy;
import java.util.concurrent.TimeUnit;

/** Shows operators how well the cost of requests is estimated. Confined to one thread. */
final class CostMetrics {
    private static final EventLog LOG = EventLog.of(CostMetrics.class);

    /** Time between two log lines. */
    private static final long LOG_NANOS = TimeUnit.SECONDS.toNanos(10);

    private volatile CostAccuracy mAccuracy = CostAccuracy.NONE;
    private long mLoggedNanos;

    CostMetrics(MetricRegistry metrics, long nowNanos) {
        mLoggedNanos = nowNanos;
        Gauge<Integer> median = () -> mAccuracy.medianPercent();
        metrics.register("kumquatweir_scheduler_cost_median_percent", median);
        Gauge<Integer> high = () -> mAccuracy.highPercent();
        metrics.register("kumquatweir_scheduler_cost_high_percent", high);
        Gauge<Integer> distributions = () -> mAccuracy.distributions();
        metrics.register("kumquatweir_scheduler_cost_distributions", distributions);
    }

    /** Takes the present accuracy. Returns whether it was logged. */
    boolean record(CostAccuracy accuracy, long nowNanos) {
        mAccuracy = accuracy;
        boolean due = accuracy.known() && nowNanos - mLoggedNanos >= LOG_NANOS;
        if (due) {
            mLoggedNanos = nowNanos;
            LOG.info(
                    "cost_accuracy",
                    "median_percent",
                    accuracy.medianPercent(),
                    "high_percent",
                    accuracy.highPercent(),
                    "distributions",
                    accuracy.distributions());
        }
        return due;
    }
}
