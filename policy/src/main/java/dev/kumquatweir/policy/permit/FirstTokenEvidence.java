package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.concurrent.TimeUnit;

/**
 * Counts of on-time and late first tokens that one instance observed from one incarnation of an
 * upstream. The leader uses them to raise or reset the upstream's cold limit. Immutable.
 *
 * @param upstream the upstream
 * @param incarnation incarnation of the upstream
 * @param inTime number of first tokens that arrived within the expected time
 * @param late number of first tokens that arrived far later than expected
 */
public record FirstTokenEvidence(UpstreamId upstream, long incarnation, int inTime, int late) {
    private static final double IN_TIME_FACTOR = 1.5;
    private static final double LATE_FACTOR = 8;

    /** A time to first token below this value never counts as late. */
    private static final long LATE_FLOOR_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Classifies one time to first token as on time, late or, between the two bounds, neither.
     *
     * @param expectedNanos learned time to first token for the prompt, including queueing
     * @param actualNanos measured time to first token
     */
    public static FirstTokenEvidence classify(
            UpstreamId upstream, long incarnation, long expectedNanos, long actualNanos) {
        boolean late = actualNanos >= LATE_FLOOR_NANOS && actualNanos > expectedNanos * LATE_FACTOR;
        boolean inTime = !late && actualNanos <= expectedNanos * IN_TIME_FACTOR;
        return new FirstTokenEvidence(upstream, incarnation, inTime ? 1 : 0, late ? 1 : 0);
    }

    /**
     * Returns the sum of these counts and others of the same incarnation of the same upstream.
     *
     * @throws IllegalArgumentException if upstream or incarnation differ
     */
    public FirstTokenEvidence plus(FirstTokenEvidence other) {
        if (!upstream.equals(other.upstream) || incarnation != other.incarnation) {
            throw new IllegalArgumentException(
                    "cannot add first-token evidence on different upstreams or incarnations");
        }
        return new FirstTokenEvidence(
                upstream, incarnation, inTime + other.inTime, late + other.late);
    }
}
