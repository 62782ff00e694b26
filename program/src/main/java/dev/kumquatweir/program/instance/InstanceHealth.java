package dev.kumquatweir.program.instance;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.gateway.caller.CallerHealth;

/** Readiness and metrics of one instance. Thread-safe. */
final class InstanceHealth implements CallerHealth {
    private final ConfigurationPort mConfiguration;
    private final MetricsText mMetrics;
    private volatile boolean mDraining;

    InstanceHealth(ConfigurationPort configuration, MetricRegistry metrics) {
        mConfiguration = configuration;
        mMetrics = new MetricsText(metrics);
    }

    /** Fails readiness from now on. */
    void startDraining() {
        mDraining = true;
    }

    @Override
    public boolean ready(long nowNanos) {
        return !mDraining && mConfiguration.current().inForce(nowNanos);
    }

    @Override
    public boolean draining() {
        return mDraining;
    }

    @Override
    public String metrics() {
        return mMetrics.text();
    }
}
