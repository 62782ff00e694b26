package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Computes when a prompt that is split over several engines is retried after one of them had too
 * little memory. All its reservations have been released by then. The random delay prevents
 * livelock between two such prompts that compete for the same engines. Stateless.
 */
final class SplitRetryDelay {
    private static final long INITIAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int MAXIMUM_DOUBLINGS = 4;

    private SplitRetryDelay() {}

    /**
     * Returns the retry decision. No engine is avoided, since there may be no others.
     *
     * @param attempt the refused attempt, which seeds the delay
     * @param refusals number of refusals, including this one
     */
    static RecoveryPolicy.Decision again(AttemptId attempt, int refusals, long nowNanos) {
        long longest = INITIAL_DELAY_NANOS << Math.min(refusals, MAXIMUM_DOUBLINGS);
        long delay = new SplittableRandom(attempt.value().hashCode()).nextLong(longest);
        return new RecoveryPolicy.Decision.Again(nowNanos + delay, Set.of(), Set.of());
    }
}
