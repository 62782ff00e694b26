package dev.kumquatweir.policy.admission;

import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import dev.kumquatweir.policy.oversize.EqualShares;
import dev.kumquatweir.policy.routing.LearnedRates;
import dev.kumquatweir.policy.routing.LengthClass;
import dev.kumquatweir.policy.routing.Pool;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;

/**
 * Admission control: decides whether a request can complete before its deadline. Stateless and
 * thread-safe.
 */
public final class AdmissionControl {
    /**
     * Share of the slack that queueing may take; the slack is the time to the deadline less the
     * processing time. The rest covers estimation errors and one resumption on another engine.
     */
    private static final double QUEUE_SHARE = 0.5;

    private static final long MINIMUM_RETRY_MILLIS = 100;
    private static final long MAXIMUM_RETRY_MILLIS = 60_000;
    private static final long NO_UPSTREAM_RETRY_MILLIS = 2_000;

    /**
     * Estimates on which the decision for one request is based.
     *
     * @param rates learned rates of the service
     * @param cachedTokens prompt tokens that some engine probably has cached
     * @param outputTokens answer length that few answers exceed
     * @param queueNanos estimated time in the queue
     */
    public record LoadEstimate(
            LearnedRates rates, long cachedTokens, long outputTokens, double queueNanos) {}

    /**
     * Decides on a request.
     *
     * @return null on the right if the request is admitted, else the reason of its refusal on the
     *     left
     */
    public Either<RequestFailure, Void> decide(
            WorkRequest request, Pool pool, LoadEstimate estimate, long nowNanos) {
        if (pool.all().isEmpty()) {
            return Either.left(
                    new RequestFailure.NoUpstream(
                            request.profile().service().value(), NO_UPSTREAM_RETRY_MILLIS));
        }
        if (request.model() != null && !fits(request, pool)) {
            long limit = memoryLimit(request, pool);
            long longest = Math.max(0, limit - request.maximumOutputTokens());
            return Either.left(new RequestFailure.PromptTooLong(request.promptTokens(), longest));
        }
        double neededNanos = workNanos(request, estimate);
        long remainingNanos = request.deadlineNanos() - nowNanos;
        if (neededNanos > remainingNanos) {
            return Either.left(
                    new RequestFailure.DeadlineTooShort(
                            TimeUnit.NANOSECONDS.toMillis((long) neededNanos),
                            Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos))));
        }
        double queueLimitNanos = (remainingNanos - neededNanos) * QUEUE_SHARE;
        if (estimate.queueNanos() > queueLimitNanos) {
            return Either.left(overloaded(estimate.queueNanos() - queueLimitNanos));
        }
        return Either.right(null);
    }

    /**
     * Returns the estimated processing time on an engine without more urgent work, in nanoseconds.
     */
    public double workNanos(WorkRequest request, LoadEstimate estimate) {
        if (request.model() == null) {
            return estimate.rates().callNanos();
        }
        long prefillTokens = Math.max(0, request.promptTokens() - estimate.cachedTokens());
        LengthClass length = LengthClass.of(request.promptTokens());
        return prefillTokens * estimate.rates().prefillNanos(length)
                + estimate.outputTokens() * estimate.rates().interTokenNanos();
    }

    /**
     * Returns an overload refusal that asks the caller to retry after the excess queueing time.
     *
     * @param excessNanos queueing time beyond what the deadline allows
     */
    public static RequestFailure overloaded(double excessNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis((long) excessNanos);
        return new RequestFailure.Overloaded(
                Math.clamp(millis, MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS));
    }

    private static boolean fits(WorkRequest request, Pool pool) {
        long output = request.maximumOutputTokens();
        long memory = request.promptTokens() + output;
        return memory <= pool.largestMemoryTokens()
                || (maySplit(request)
                        && EqualShares.canHold(Pool.memories(pool.all()), memory, output));
    }

    private static long memoryLimit(WorkRequest request, Pool pool) {
        long splitLimit =
                maySplit(request)
                        ? EqualShares.capacityTokens(
                                Pool.memories(pool.all()), request.maximumOutputTokens())
                        : 0;
        return Math.max(pool.largestMemoryTokens(), splitLimit);
    }

    private static boolean maySplit(WorkRequest request) {
        return request.profile().oversize() == OversizePolicy.SPLIT;
    }
}
