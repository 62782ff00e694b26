package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.RequestClass;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.policy.admission.AdmissionControl;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Decides what becomes of a request that waits. Not thread-safe: owned by the dispatch duty. */
final class WaitingCheck {
    /**
     * A document with less time left than this multiple of its own time is served before all other
     * work. Short work is not: under overload all of it comes to that point, and serving the latest
     * first makes the rest late as well.
     */
    private static final double URGENT_FACTOR = 2;

    /** Time after which work may return to an upstream that it avoids, if no other takes it. */
    private static final long AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final AdmissionControl mAdmission;
    private final RateLearner mRateLearner;

    /** What becomes of it. */
    sealed interface Verdict {
        /** It waits on. */
        record Waits() implements Verdict {}

        /** It is served before all other work. */
        record Urgent() implements Verdict {}

        /** It can't end in its time any more. */
        record Hopeless(RequestFailure failure) implements Verdict {}
    }

    private static final Verdict WAITS = new Verdict.Waits();
    private static final Verdict URGENT = new Verdict.Urgent();

    WaitingCheck(AdmissionControl admission, RateLearner rateLearner) {
        mAdmission = admission;
        mRateLearner = rateLearner;
    }

    /** Decides, and forgets which upstreams the request avoided once that was long enough. */
    Verdict check(TrackedRequest tracked, long nowNanos) {
        if (!tracked.mAvoidedUpstreams.isEmpty()
                && nowNanos - tracked.mNotBeforeNanos > AVOID_NANOS) {
            tracked.mAvoidedUpstreams = Set.of();
        }
        WorkRequest request = tracked.mRequest;
        AdmissionControl.LoadEstimate outlook =
                new AdmissionControl.LoadEstimate(
                        mRateLearner.rates(request.profile().service()),
                        0,
                        tracked.mExpectedOutput - tracked.mCallerTokens,
                        0);
        double neededNanos = mAdmission.workNanos(request, outlook);
        long leftNanos = request.deadlineNanos() - nowNanos;
        if (leftNanos < neededNanos && tracked.mayBeShed()) {
            return new Verdict.Hopeless(AdmissionControl.overloaded(neededNanos));
        }
        boolean hurries =
                leftNanos < neededNanos * URGENT_FACTOR
                        && request.profile().requestClass() == RequestClass.LONG
                        && tracked.mUrgency < TrackedRequest.URGENT;
        return hurries ? URGENT : WAITS;
    }
}
