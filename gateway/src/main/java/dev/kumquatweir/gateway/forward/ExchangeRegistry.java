package dev.kumquatweir.gateway.forward;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.policy.stop.PlannedStop;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Executor;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Owns the exchanges in progress and checks their time limits periodically. Confined to the I/O
 * thread, except where a method says otherwise.
 */
public final class ExchangeRegistry {
    private static final EventLog LOG = EventLog.of(ExchangeRegistry.class);

    /** Precision of deadlines and silence limits. */
    private static final long TICK_MILLIS = 50;

    private final ForwardingPorts mPorts;
    private final ForwardingMetrics mMetrics;
    private final Executor mExecutor;
    private final Set<Exchange> mExchanges = new LinkedHashSet<>();
    private final HeldRequests mHeld = new HeldRequests();
    private final StopAdmission mStops;
    private final InstanceRelay mRelay;
    private Cancellable mTimer = () -> {};
    private volatile int mRunningCount;

    /**
     * Creates a registry without exchanges.
     *
     * @param ports dependencies of the exchanges
     * @param metrics registry for counters, histograms and the gauge of running requests
     * @param executor the I/O thread
     */
    public ExchangeRegistry(ForwardingPorts ports, MetricRegistry metrics, Executor executor) {
        mPorts = ports;
        mMetrics = new ForwardingMetrics(metrics);
        mExecutor = executor;
        mStops = new StopAdmission(ports.state(), ports.reach()::othersCarry);
        mRelay = new InstanceRelay(ports, mMetrics);
        Gauge<Integer> running = () -> mRunningCount;
        metrics.register("kumquatweir_forward_requests_running", running);
        Gauge<Long> requestBytes = () -> ports.requestMemory().usedBytes();
        metrics.register("kumquatweir_forward_request_bytes", requestBytes);
        Gauge<Long> responseBytes = () -> ports.responseMemory().usedBytes();
        metrics.register("kumquatweir_forward_response_bytes", responseBytes);
    }

    /** Schedules the next check of time limits; each check schedules the following one. */
    public void start() {
        mTimer = mExecutor.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Stops checking time limits. */
    public void stop() {
        mTimer.cancel();
    }

    /**
     * Returns the number of requests that have no answer yet, those held until routing is known
     * included: a planned stop waits for them. May be called from any thread.
     */
    public int runningCount() {
        return mRunningCount + mHeld.size();
    }

    /**
     * Begins a planned stop: requests that can't complete in time are rejected, and those without a
     * complete response at its end get a final one. May be called from any thread.
     */
    public void beginStop(PlannedStop stop) {
        mStops.begin(stop);
    }

    /** Returns the number of requests that a planned stop has broken off. */
    public int brokenOffCount() {
        return mStops.brokenOffCount();
    }

    ForwardingPorts ports() {
        return mPorts;
    }

    HeldRequests held() {
        return mHeld;
    }

    StopAdmission stops() {
        return mStops;
    }

    InstanceRelay relay() {
        return mRelay;
    }

    ForwardingMetrics metrics() {
        return mMetrics;
    }

    Exchange register(ForwardedRequest request, CallerResponse callerResponse) {
        Exchange exchange =
                new Exchange(mPorts, mMetrics, request, callerResponse, mStops, this::remove);
        mExchanges.add(exchange);
        mRunningCount = mExchanges.size();
        return exchange;
    }

    private void remove(Exchange exchange) {
        if (mExchanges.remove(exchange)) {
            mPorts.requestMemory().release(exchange.bodyBytes());
        }
        mRunningCount = mExchanges.size();
    }

    private void tick() {
        try {
            long nowNanos = mPorts.clocks().nowNanos();
            mPorts.reach().tick(nowNanos);
            mHeld.tick(mPorts.state().routing().isPresent(), nowNanos);
            List.copyOf(mExchanges).forEach(exchange -> tick(exchange, nowNanos));
        } catch (RuntimeException fault) {
            LOG.error("forward_tick_fault", fault);
        } finally {
            start();
        }
    }

    private static void tick(Exchange exchange, long nowNanos) {
        try {
            exchange.tick(nowNanos);
        } catch (RuntimeException fault) {
            LOG.error("exchange_tick_fault", fault);
        }
    }
}
