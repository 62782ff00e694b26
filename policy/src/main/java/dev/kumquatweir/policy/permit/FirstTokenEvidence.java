package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.concurrent.TimeUnit;

/**
 * How quickly an upstream gave first tokens, as one instance saw it. Immutable.
 *
 * @param upstream the upstream
 * @param incarnation its incarnation
 * @param inTime first tokens within the expected time
 * @param late first tokens far later than expected
 */
public record FirstTokenEvidence(UpstreamId upstream, long incarnation, int inTime, int late) {
    private static final double IN_TIME_FACTOR = 1.5;
    private static final double LATE_FACTOR = 8;

    /** Below this a first token is never late, whatever was expected. */
    private static final long LATE_FLOOR_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Judges one first token. A time between the two bounds says nothing.
     *
     * @param expectedNanos learned time for its prompt, queue included
     * @param actualNanos time it took
     */
    public static FirstTokenEvidence classify(
            UpstreamId upstream, long incarnation, long expectedNanos, long actualNanos) {
        boolean late = actualNanos >= LATE_FLOOR_NANOS && actualNanos > expectedNanos * LATE_FACTOR;
        boolean inTime = !late && actualNanos <= expectedNanos * IN_TIME_FACTOR;
        return new FirstTokenEvidence(upstream, incarnation, inTime ? 1 : 0, late ? 1 : 0);
    }

    /** Adds what was seen of the same incarnation of the same upstream. */
    public FirstTokenEvidence plus(FirstTokenEvidence other) {
        if (!upstream.equals(other.upstream) || incarnation != other.incarnation) {
            throw new IllegalArgumentException("evidence on different upstreams can't be added");
        }
        return new FirstTokenEvidence(
                upstream, incarnation, inTime + other.inTime, late + other.late);
    }
}
