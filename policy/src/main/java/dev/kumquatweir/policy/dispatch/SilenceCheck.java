package dev.kumquatweir.policy.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Checks whether an attempt has received no data for longer than its limit. Stateless and
 * thread-safe.
 */
final class SilenceCheck {
    private static final long TOKEN_GAP_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SUSPECTED_UPSTREAM_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long FIRST_TOKEN_MINIMUM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Covers estimation errors and more urgent work that the engine schedules first. */
    private static final int FIRST_TOKEN_FACTOR = 4;

    private SilenceCheck() {}

    /** Returns whether the attempt has timed out and should be cancelled. */
    static boolean silent(RunningAttempt attempt, long nowNanos) {
        long quiet = nowNanos - attempt.mLastProgressNanos;
        boolean suspected = attempt.mPlacement.upstream().suspected(nowNanos);
        if (suspected) {
            return quiet >= SUSPECTED_UPSTREAM_LIMIT_NANOS;
        }
        if (attempt.mFirstToken) {
            return quiet >= TOKEN_GAP_LIMIT_NANOS;
        }
        long estimate = attempt.mPlacement.firstTokenNanos();
        return quiet >= FIRST_TOKEN_MINIMUM_WAIT_NANOS + FIRST_TOKEN_FACTOR * estimate;
    }
}
