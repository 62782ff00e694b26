package dev.kumquatweir.standin.model;

/**
 * What an engine can hold and handle. Immutable.
 *
 * @param memoryTokens KV cache memory in tokens
 * @param maxRunning largest batch
 * @param coldRequests accepted requests that a cold engine can handle
 * @param coldPrefillTokens prompt tokens waiting for prefill that a cold engine can handle
 * @param refusesBeyondColdLimit true if a cold engine refuses more, false if it crashes
 * @param coldMillis time until a cold engine is warm, scaled by the speed; 0 for never
 * @param retainMillis time that an attempt of prefill only waits for its export, scaled
 */
public record EngineLimits(
        long memoryTokens,
        int maxRunning,
        int coldRequests,
        long coldPrefillTokens,
        boolean refusesBeyondColdLimit,
        long coldMillis,
        long retainMillis) {

    /** A usual engine: 400,000 tokens, 64 in a batch, 2 while cold, cold for 20 s. */
    public static final EngineLimits USUAL =
            new EngineLimits(400_000, 64, 2, 8_000, false, 20_000, 10_000);
}
