package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.policy.admission.AdmissionControl;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Periodic check of queued requests: raises the urgency of those close to their deadline and
 * rejects those that can no longer meet it. Not thread-safe: owned by the dispatch duty.
 */
final class WaitingCheck {
    /**
     * A long request is served before all other work once its remaining time is less than this
     * multiple of its estimated service time. Short requests are not: under overload all of them
     * get there, and serving the latest first makes the others late as well.
     */
    private static final double URGENT_FACTOR = 2;

    /**
     * Time after which a request may use an upstream that it avoids, if it was not placed
     * elsewhere.
     */
    private static final long AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final AdmissionControl mAdmission;
    private final RateLearner mRateLearner;

    /** Result of a check. */
    sealed interface Verdict {
        /** It stays in the queue unchanged. */
        record KeepWaiting() implements Verdict {}

        /** It is served before all other work. */
        record Urgent() implements Verdict {}

        /** It can no longer finish before its deadline. */
        record CannotFinish(RequestFailure failure) implements Verdict {}
    }

    private static final Verdict KEEP_WAITING = new Verdict.KeepWaiting();
    private static final Verdict URGENT = new Verdict.Urgent();

    WaitingCheck(AdmissionControl admission, RateLearner rateLearner) {
        mAdmission = admission;
        mRateLearner = rateLearner;
    }

    /** Checks a request. Also clears its avoided upstreams once the avoidance time has passed. */
    Verdict check(TrackedRequest tracked, long nowNanos) {
        if (!tracked.mAvoidedUpstreams.isEmpty()
                && nowNanos - tracked.mNotBeforeNanos > AVOIDANCE_NANOS) {
            tracked.mAvoidedUpstreams = Set.of();
        }
        WorkRequest request = tracked.mRequest;
        AdmissionControl.LoadEstimate outlook =
                new AdmissionControl.LoadEstimate(
                        mRateLearner.rates(request.profile().service()),
                        0,
                        tracked.mExpectedOutputTokens - tracked.mDeliveredTokens,
                        0);
        double neededNanos = mAdmission.workNanos(request, outlook);
        long leftNanos = request.deadlineNanos() - nowNanos;
        if (leftNanos < neededNanos && tracked.mayBeShed()) {
            return new Verdict.CannotFinish(AdmissionControl.overloaded(neededNanos));
        }
        boolean becomesUrgent =
                leftNanos < neededNanos * URGENT_FACTOR
                        && request.profile().requestClass() == RequestClass.LONG
                        && tracked.mUrgency < TrackedRequest.URGENT;
        return becomesUrgent ? URGENT : KEEP_WAITING;
    }
}
