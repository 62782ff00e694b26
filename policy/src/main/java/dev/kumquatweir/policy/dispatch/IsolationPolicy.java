package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.quarantine.QuarantineDecision;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import java.util.Set;

/**
 * Decides before each attempt whether a request may share an upstream, has to run alone, or must
 * not run, based on the reported events of attempts and upstreams. The default methods impose no
 * restriction.
 *
 * <p>Not thread-safe: owned by the dispatch duty. Times are monotonic nanoseconds of one clock.
 */
public interface IsolationPolicy {
    /**
     * Decides how a request may run. Called before each attempt.
     *
     * @param liveUpstreams number of upstreams that could run it
     */
    default QuarantineDecision decide(WorkRequest request, int liveUpstreams, long nowNanos) {
        return new QuarantineDecision.RunUnrestricted();
    }

    /** Returns the upstreams that are reserved for requests that run alone. */
    default Set<UpstreamId> reservedUpstreams(long nowNanos) {
        return Set.of();
    }

    /**
     * Reserves an upstream for a request that has to run alone. Called repeatedly until the request
     * starts.
     *
     * @return false if the upstream is reserved for another request
     */
    default boolean reserve(WorkRequest request, UpstreamIncarnation incarnation, long nowNanos) {
        return true;
    }

    /** Ends the reservation of an upstream. */
    default void release(UpstreamId upstream) {}

    /**
     * Records the start of an attempt.
     *
     * @param incarnation upstream incarnation that runs it
     * @param alone whether nothing else runs on the upstream
     */
    default void started(
            WorkRequest request,
            AttemptId attempt,
            UpstreamIncarnation incarnation,
            FailureDomain domain,
            boolean alone,
            long nowNanos) {}

    /**
     * Records the progress of an attempt.
     *
     * @param tokens total tokens of the answer so far
     */
    default void attemptProgressed(AttemptId attempt, long tokens) {}

    /** Records that an attempt broke off, whether or not its request may be repeated. */
    default void lost(AttemptId attempt, AttemptEvent.BreakCause how, long nowNanos) {}

    /** Records the end of an attempt that was cancelled or never executed. */
    default void attemptCancelled(AttemptId attempt) {}

    /** Records a load report of an incarnation. */
    default void upstreamAlive(UpstreamIncarnation incarnation, long nowNanos) {}

    /** Records that an incarnation announced its shutdown. */
    default void upstreamLeaving(UpstreamIncarnation incarnation, long nowNanos) {}

    /** Records that an incarnation terminated. Its attempts break off afterwards. */
    default void upstreamTerminated(
            UpstreamIncarnation incarnation, FailureDomain domain, long nowNanos) {}

    /** Removes expired state. Called periodically. */
    default void expire(long nowNanos) {}
}
