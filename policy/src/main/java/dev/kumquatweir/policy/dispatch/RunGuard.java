package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.quarantine.QuarantineDecision;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import java.util.Set;

/**
 * Decides before each attempt whether and how a request may run, and is told of attempts and of the
 * life of upstreams for that. The methods do nothing here, so that all work runs freely.
 *
 * <p>Not thread-safe: owned by the dispatch duty. Times are monotonic nanoseconds of one clock.
 */
public interface RunGuard {
    /**
     * Decides how a request may run; asked before each attempt.
     *
     * @param liveUpstreams upstreams that could run it
     */
    default QuarantineDecision decide(WorkRequest request, int liveUpstreams, long nowNanos) {
        return new QuarantineDecision.RunUnrestricted();
    }

    /** Returns the upstreams that are kept for work that runs alone and take nothing else. */
    default Set<UpstreamId> closedUpstreams(long nowNanos) {
        return Set.of();
    }

    /**
     * Reserves an upstream for a request that has to run alone; asked again until it runs.
     *
     * @return false if the upstream is kept for another request
     */
    default boolean reserve(WorkRequest request, UpstreamIncarnation place, long nowNanos) {
        return true;
    }

    /** Ends the reservation of an upstream. */
    default void release(UpstreamId upstream) {}

    /**
     * Takes the start of an attempt.
     *
     * @param place incarnation that runs it
     * @param alone whether nothing else runs there
     */
    default void started(
            WorkRequest request,
            AttemptId attempt,
            UpstreamIncarnation place,
            FailureDomain domain,
            boolean alone) {}

    /**
     * Takes the progress of an attempt.
     *
     * @param tokens all tokens of the answer so far
     */
    default void progressed(AttemptId attempt, long tokens) {}

    /** Takes the break of an attempt, whether or not its request may be repeated. */
    default void lost(AttemptId attempt, AttemptEvent.BreakCause how, long nowNanos) {}

    /** Takes the end of an attempt that was cancelled or never ran. */
    default void cancelled(AttemptId attempt) {}

    /** Takes a sign of life of an incarnation. */
    default void alive(UpstreamIncarnation place, long nowNanos) {}

    /** Takes the word of an incarnation that it leaves. */
    default void leaving(UpstreamIncarnation place, long nowNanos) {}

    /** Takes the death of an incarnation; its attempts break off afterwards. */
    default void died(UpstreamIncarnation place, FailureDomain domain, long nowNanos) {}

    /** Forgets what has expired; called now and then. */
    default void expire(long nowNanos) {}
}
