package dev.kumquatweir.program.instance;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.gateway.dispatch.RequestObserver;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Metrics of requests by profile, passed on to another observer. Further profiles beyond a limit
 * share their metrics, so that memory is bounded. Thread-safe.
 */
final class RequestMetrics implements RequestObserver {
    private static final int MAXIMUM_PROFILES = 64;
    private static final String OTHER_PROFILES = "other_profiles";
    private static final int RESERVOIR_SAMPLES = 256;
    private static final double RESERVOIR_DECAY = 0.015;

    private final MetricRegistry mMetrics;
    private final RequestObserver mNext;
    private final Set<String> mProfiles = ConcurrentHashMap.newKeySet();

    RequestMetrics(MetricRegistry metrics, RequestObserver next) {
        mMetrics = metrics;
        mNext = next;
    }

    @Override
    public void refused(WorkRequest request, RequestFailure failure) {
        count(request, "refused");
        mNext.refused(request, failure);
    }

    @Override
    public void admitted(WorkRequest request) {
        count(request, "admitted");
        mNext.admitted(request);
    }

    @Override
    public void tokenGap(WorkRequest request, long gapNanos) {
        histogram(request, "token_gap_microseconds")
                .update(TimeUnit.NANOSECONDS.toMicros(gapNanos));
        mNext.tokenGap(request, gapNanos);
    }

    @Override
    public void finished(WorkRequest request, long firstTokenNanos, long nowNanos) {
        count(request, nowNanos - request.deadlineNanos() <= 0 ? "in_time" : "late");
        histogram(request, "first_token_microseconds")
                .update(TimeUnit.NANOSECONDS.toMicros(firstTokenNanos - request.arrivedNanos()));
        mNext.finished(request, firstTokenNanos, nowNanos);
    }

    @Override
    public void failed(WorkRequest request, RequestFailure failure) {
        count(
                request,
                failure instanceof RequestFailure.CallerDisconnected ? "caller_gone" : "failed");
        mNext.failed(request, failure);
    }

    private void count(WorkRequest request, String outcome) {
        mMetrics.counter(metricName("kumquatweir_requests_" + outcome, request)).inc();
    }

    private Histogram histogram(WorkRequest request, String name) {
        return mMetrics.histogram(
                metricName("kumquatweir_" + name, request),
                () ->
                        new Histogram(
                                new ExponentiallyDecayingReservoir(
                                        RESERVOIR_SAMPLES, RESERVOIR_DECAY)));
    }

    private String metricName(String metric, WorkRequest request) {
        String profile = request.profile().name().value();
        boolean known = mProfiles.contains(profile);
        if (!known && mProfiles.size() < MAXIMUM_PROFILES) {
            known = mProfiles.add(profile) || mProfiles.contains(profile);
        }
        return metric + "_" + (known ? profile : OTHER_PROFILES);
    }
}
