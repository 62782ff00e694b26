package dev.kumquatweir.gateway.forward;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Executor;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Owns the requests on their way and checks their times. Used on the I/O thread. */
public final class ExchangeRegistry {
    /** Silence and time limits are kept to this precision. */
    private static final long TICK_MILLIS = 50;

    private final ForwardingPorts mPorts;
    private final ForwardingMetrics mMetrics;
    private final Executor mExecutor;
    private final Set<Exchange> mExchanges = new LinkedHashSet<>();
    private Cancellable mTimer = () -> {};
    private volatile int mRunningCount;

    /**
     * Makes a duty without requests.
     *
     * @param executor the I/O thread
     */
    public ExchangeRegistry(ForwardingPorts ports, MetricRegistry metrics, Executor executor) {
        mPorts = ports;
        mMetrics = new ForwardingMetrics(metrics);
        mExecutor = executor;
        Gauge<Integer> running = () -> mRunningCount;
        metrics.register("kumquatweir_forward_requests_running", running);
    }

    /** Starts checking times. */
    public void start() {
        mTimer = mExecutor.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops checking times. */
    public void stop() {
        mTimer.cancel();
    }

    /** Returns how many requests are on their way; from any thread. */
    public int runningCount() {
        return mRunningCount;
    }

    ForwardingPorts ports() {
        return mPorts;
    }

    ForwardingMetrics metrics() {
        return mMetrics;
    }

    Exchange register(ForwardedRequest request, CallerResponse answer) {
        Exchange exchange = new Exchange(mPorts, mMetrics, request, answer, this::remove);
        mExchanges.add(exchange);
        mRunningCount = mExchanges.size();
        return exchange;
    }

    private void remove(Exchange exchange) {
        mExchanges.remove(exchange);
        mRunningCount = mExchanges.size();
    }

    private void tick() {
        long nowNanos = mPorts.clocks().nowNanos();
        List.copyOf(mExchanges).forEach(exchange -> exchange.tick(nowNanos));
        start();
    }
}
