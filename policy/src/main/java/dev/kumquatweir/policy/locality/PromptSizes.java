package dev.kumquatweir.policy.locality;

import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * The sizes of prompts that an instance has placed lately, by power of two, so that memory is
 * bounded. Not thread-safe.
 */
public final class PromptSizes {
    /** With 60 instances, each places a prompt of the rarest size about once a minute. */
    private static final long KEPT_NANOS = TimeUnit.MINUTES.toNanos(5);

    private final long[] mTokens = new long[Long.SIZE];
    private final long[] mPlacedNanos = new long[Long.SIZE];

    /** Records a prompt. */
    public void record(long tokens, long nowNanos) {
        int index = Long.numberOfTrailingZeros(Long.highestOneBit(Math.max(1, tokens)));
        mTokens[index] = tokens;
        mPlacedNanos[index] = nowNanos;
    }

    /** Returns whether a prompt was placed lately whose number of tokens matches. */
    public boolean contains(LongPredicate matches, long nowNanos) {
        for (int index = 0; index < mTokens.length; index++) {
            if (mTokens[index] > 0
                    && nowNanos - mPlacedNanos[index] <= KEPT_NANOS
                    && matches.test(mTokens[index])) {
                return true;
            }
        }
        return false;
    }
}
