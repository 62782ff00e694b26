package dev.kumquatweir.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Tells whether an attempt has been silent for longer than its upstream may take. Holds no state,
 * so that it is thread-safe.
 */
final class SilenceCheck {
    private static final long GAP_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SUSPECTED_GAP_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long FIRST_TOKEN_FLOOR_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Covers errors of the estimate and more urgent work that overtakes on the engine. */
    private static final int FIRST_TOKEN_FACTOR = 4;

    private SilenceCheck() {}

    /** Returns whether the attempt is to be given up. */
    static boolean silent(RunningAttempt attempt, long nowNanos) {
        long quiet = nowNanos - attempt.mProgressNanos;
        boolean suspected = attempt.mPlacement.upstream().suspected(nowNanos);
        if (suspected) {
            return quiet >= SUSPECTED_GAP_NANOS;
        }
        if (attempt.mFirstToken) {
            return quiet >= GAP_NANOS;
        }
        long estimate = attempt.mPlacement.firstTokenNanos();
        return quiet >= FIRST_TOKEN_FLOOR_NANOS + FIRST_TOKEN_FACTOR * estimate;
    }
}
