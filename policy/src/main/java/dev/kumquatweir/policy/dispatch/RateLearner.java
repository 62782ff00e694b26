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
 * Learns the rates of upstreams and services and the lengths of answers from what attempts showed.
 * Not thread-safe: owned by the dispatch duty.
 */
final class RateLearner {
    /**
     * A first token within this multiple of its estimate shows that the upstream bears its load.
     */
    private static final int EVIDENCE_FACTOR = 2;

    private static final long EVIDENCE_FLOOR_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<ServiceName, LearnedRates> mServices = new HashMap<>();
    private final Map<ProfileName, OutputEstimate> mOutputs = new HashMap<>();

    /** Takes the first token of an attempt. */
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
        long estimate = EVIDENCE_FACTOR * attempt.mPlacement.firstTokenNanos();
        if (elapsed <= Math.max(EVIDENCE_FLOOR_NANOS, estimate)) {
            load.raiseRampLimit();
        }
    }

    /** Takes a whole answer. */
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
            long gaps = outputTokens - attempt.mOffset - 1;
            long elapsed = nowNanos - attempt.mFirstTokenNanos;
            learners.forEach(rates -> rates.recordDecode(gaps, elapsed));
        }
        output(tracked.mRequest).observe(outputTokens, tracked.mRequest.maximumOutputTokens());
    }

    /** Returns the rates of a service. */
    LearnedRates rates(ServiceName service) {
        return mServices.computeIfAbsent(service, key -> new LearnedRates());
    }

    /** Returns the lengths of answers under the profile of a request. */
    OutputEstimate output(WorkRequest request) {
        return mOutputs.computeIfAbsent(request.profile().name(), key -> new OutputEstimate());
    }
}
