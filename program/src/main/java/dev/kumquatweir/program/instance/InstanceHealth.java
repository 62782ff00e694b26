package dev.kumquatweir.program.instance;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.gateway.caller.CallerHealth;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Readiness and metrics of one instance. Thread-safe. */
final class InstanceHealth implements CallerHealth {
    private final ConfigurationPort mConfiguration;
    private final CollectorRegistry mCollectors = new CollectorRegistry();
    private volatile boolean mDraining;

    InstanceHealth(ConfigurationPort configuration, MetricRegistry metrics) {
        mConfiguration = configuration;
        new DropwizardExports(metrics).register(mCollectors);
    }

    /** Fails readiness from now on. */
    void drain() {
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
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, mCollectors.metricFamilySamples());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toString();
    }
}
