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

/** Decides whether a request can end in its time. Holds no state, so that it is thread-safe. */
public final class AdmissionControl {
    /**
     * Share of the time left after the work itself that the queue may take. The rest covers errors
     * of the estimates and one resumption on another engine.
     */
    private static final double QUEUE_SHARE = 0.5;

    private static final long MINIMUM_RETRY_MILLIS = 100;
    private static final long MAXIMUM_RETRY_MILLIS = 60_000;
    private static final long NO_UPSTREAM_RETRY_MILLIS = 2_000;

    /**
     * What admission knows of the work that a request competes with.
     *
     * @param rates learned rates of the service
     * @param cachedTokens prompt tokens that some engine probably has cached
     * @param outputTokens answer length that few answers exceed
     * @param queueNanos estimated time in the queue
     */
    public record LoadEstimate(
            LearnedRates rates, long cachedTokens, long outputTokens, double queueNanos) {}

    /** Returns null on the right if the request can end in its time, else why it can't. */
    public Either<RequestFailure, Void> decide(
            WorkRequest request, Pool pool, LoadEstimate outlook, long nowNanos) {
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
        double needed = workNanos(request, outlook);
        long left = request.deadlineNanos() - nowNanos;
        if (needed > left) {
            return Either.left(
                    new RequestFailure.DeadlineTooShort(
                            TimeUnit.NANOSECONDS.toMillis((long) needed),
                            Math.max(0, TimeUnit.NANOSECONDS.toMillis(left))));
        }
        double room = (left - needed) * QUEUE_SHARE;
        if (outlook.queueNanos() > room) {
            return Either.left(overloaded(outlook.queueNanos() - room));
        }
        return Either.right(null);
    }

    /** Returns the time that the work itself takes on an engine that does nothing urgent else. */
    public double workNanos(WorkRequest request, LoadEstimate outlook) {
        if (request.model() == null) {
            return outlook.rates().callNanos();
        }
        long prefill = Math.max(0, request.promptTokens() - outlook.cachedTokens());
        LengthClass length = LengthClass.of(request.promptTokens());
        return prefill * outlook.rates().prefillNanos(length)
                + outlook.outputTokens() * outlook.rates().interTokenNanos();
    }

    /** Returns a refusal whose retry time is the excess of the queue over the time there is. */
    public static RequestFailure overloaded(double excessNanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis((long) excessNanos);
        return new RequestFailure.Overloaded(
                Math.clamp(millis, MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS));
    }

    private static boolean fits(WorkRequest request, Pool pool) {
        long output = request.maximumOutputTokens();
        long memory = request.promptTokens() + output;
        return memory <= pool.largestMemoryTokens()
                || (splits(request)
                        && EqualShares.canHold(Pool.memories(pool.all()), memory, output));
    }

    private static long memoryLimit(WorkRequest request, Pool pool) {
        long together =
                splits(request)
                        ? EqualShares.capacityTokens(
                                Pool.memories(pool.all()), request.maximumOutputTokens())
                        : 0;
        return Math.max(pool.largestMemoryTokens(), together);
    }

    private static boolean splits(WorkRequest request) {
        return request.profile().oversize() == OversizePolicy.SPLIT;
    }
}
