package dev.kumquatweir.bench;

import java.util.concurrent.TimeUnit;

/**
 * Speed and size of the engine fake, all in one place. An engine works in steps. A step takes a
 * fixed time for reading the weights, a time for each decoding sequence, and a time for each prompt
 * token that grows with the context before it. A full chunk beside 20 sequences at a short context
 * takes 27.4 ms, so that 28 ms between tokens and 0.86 s for a prompt of 16,000 tokens are
 * attainable.
 */
final class EngineConstants {
    /** Fixed time of a step. */
    static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(18);

    /** Time of a step for each decoding sequence. */
    static final long SEQUENCE_NANOS = TimeUnit.MICROSECONDS.toNanos(50);

    /** Time of a step for each prompt token processed. */
    static final long TOKEN_NANOS = TimeUnit.MICROSECONDS.toNanos(16);

    /** Time for each prompt token and each token of context before it. */
    static final double CONTEXT_NANOS = 0.04;

    /** Prompt tokens of one step at most. */
    static final int CHUNK_TOKENS = 512;

    /** KV cache memory; the longest prompt of 1,000,000 tokens exceeds it twice. */
    static final long MEMORY_TOKENS = 400_000;

    /** Sequences in the batch at most. */
    static final int MAXIMUM_RUNNING = 48;

    /** How much slower a cold engine is. */
    static final double COLD_FACTOR = 3;

    /** Requests that a cold engine bears. */
    static final int COLD_REQUESTS = 6;

    /** Unprocessed prompt tokens that a cold engine bears. */
    static final long COLD_PREFILL_TOKENS = 48_000;

    /** Time for which an engine bears more than its cold limit before it crashes. */
    static final long COLD_GRACE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Tokens of one block of the prefix cache. */
    static final int BLOCK_TOKENS = 256;

    private EngineConstants() {}

    /** Returns the time of a step without the cold factor. */
    static long stepNanos(int decoding, double prefillNanos) {
        return STEP_NANOS + decoding * SEQUENCE_NANOS + Math.round(prefillNanos);
    }

    /** Returns the time that a number of prompt tokens adds to a step. */
    static double prefillNanos(long tokens, long context) {
        return tokens * (TOKEN_NANOS + CONTEXT_NANOS * (context + tokens / 2.0));
    }

    /** Returns the time until the first token on an engine that does nothing else. */
    static long idlePrefillNanos(long promptTokens, long cachedTokens) {
        long done = Math.min(cachedTokens, promptTokens - 1);
        long nanos = 0;
        while (done < promptTokens) {
            long chunk = Math.min(CHUNK_TOKENS, promptTokens - done);
            nanos += stepNanos(0, prefillNanos(chunk, done));
            done += chunk;
        }
        return nanos;
    }

    /** Returns the time of a whole answer on an engine that does nothing else. */
    static long idleNanos(long promptTokens, long cachedTokens, long outputTokens) {
        return idlePrefillNanos(promptTokens, cachedTokens) + (outputTokens - 1) * stepNanos(1, 0);
    }
}
