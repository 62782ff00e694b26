package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.policy.admission.OutputEstimate;
import dev.kumquatweir.policy.routing.AttemptReservation;
import dev.kumquatweir.policy.routing.LearnedRates;
import dev.kumquatweir.policy.routing.UpstreamLoad;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Learns prefill and decode rates of upstreams and services, and output lengths of profiles, from
 * observed attempts. Not thread-safe: owned by the dispatch duty.
 */
final class RateLearner {
    /**
     * A first token within this multiple of its estimate shows that the upstream can sustain its
     * load, so that slow start may continue.
     */
    private static final int RAMP_EVIDENCE_FACTOR = 2;

    private static final long RAMP_EVIDENCE_FLOOR_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<ServiceName, LearnedRates> mRatesByService = new HashMap<>();
    private final Map<ProfileName, OutputEstimate> mOutputEstimates = new HashMap<>();

    /** Records the first token of an attempt. */
    void firstToken(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        UpstreamLoad load = attempt.mPlacement.upstream();
        long elapsed = nowNanos - attempt.mStartedNanos;
        long tokens = attempt.mPrefillTokens + attempt.mPlacement.waitingTokens();
        load.rates().recordPrefill(tracked.mLength, tokens, elapsed);
        rates(tracked.mRequest.profile().service()).recordPrefill(tracked.mLength, tokens, elapsed);
        AttemptReservation hold = load.findReservation(attempt.mId);
        if (hold != null) {
            hold.markPrefilled();
        }
        long estimate = RAMP_EVIDENCE_FACTOR * attempt.mPlacement.firstTokenNanos();
        if (elapsed <= Math.max(RAMP_EVIDENCE_FLOOR_NANOS, estimate)) {
            load.raiseRampLimit();
        }
    }

    /** Records a complete answer. */
    void finished(
            TrackedRequest tracked, RunningAttempt attempt, long outputTokens, long nowNanos) {
        UpstreamLoad load = attempt.mPlacement.upstream();
        ServiceName service = tracked.mRequest.profile().service();
        List<LearnedRates> learners = List.of(load.rates(), rates(service));
        if (tracked.mRequest.model() == null) {
            long elapsed = nowNanos - attempt.mStartedNanos;
            learners.forEach(rates -> rates.recordCall(elapsed));
            load.raiseRampLimit();
            return;
        }
        if (attempt.mFirstToken) {
            long gaps = outputTokens - attempt.mResumeOffset - 1;
            long elapsed = nowNanos - attempt.mFirstTokenNanos;
            learners.forEach(rates -> rates.recordDecode(gaps, elapsed));
        }
        output(tracked.mRequest).observe(outputTokens, tracked.mRequest.maximumOutputTokens());
    }

    /** Returns the learned rates of a service. */
    LearnedRates rates(ServiceName service) {
        return mRatesByService.computeIfAbsent(service, key -> new LearnedRates());
    }

    /** Returns the output length estimate for the profile of a request. */
    OutputEstimate output(WorkRequest request) {
        return mOutputEstimates.computeIfAbsent(
                request.profile().name(), key -> new OutputEstimate());
    }
}
