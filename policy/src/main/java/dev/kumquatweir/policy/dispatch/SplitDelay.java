package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * When a prompt over several engines asks again after one of them had no memory. It has given
 * everything back by then; the random delay keeps two such prompts from meeting again and again.
 * Holds no state.
 */
final class SplitDelay {
    private static final long FIRST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int DOUBLINGS = 4;

    private SplitDelay() {}

    /**
     * Returns the next try. All engines may take part again: there may be no others.
     *
     * @param attempt the refused attempt, which seeds the delay
     * @param refusals refusals so far, this one included
     */
    static RecoveryPolicy.Decision again(AttemptId attempt, int refusals, long nowNanos) {
        long longest = FIRST_NANOS << Math.min(refusals, DOUBLINGS);
        long delay = new SplittableRandom(attempt.value().hashCode()).nextLong(longest);
        return new RecoveryPolicy.Decision.Again(nowNanos + delay, Set.of(), Set.of());
    }
}
