package dev.kumquatweir.core.routing;

/**
 * Cost model of an inference engine, as published by its service: prefill and decode times, batch
 * size and KV cache capacity. Immutable.
 *
 * @param maximumConcurrentRequests largest batch: requests that run at once on one engine
 * @param kvCacheTokens capacity of an engine's KV cache
 * @param baseStepMillis time of a decode step of an empty batch
 * @param stepMillisPerRequest time that each request in the batch adds to a decode step
 * @param stepMillisPerThousandTokens time that 1,000 tokens of context in the batch add to a decode
 *     step
 * @param prefillTokensPerMilli prefill throughput: prompt tokens per millisecond
 * @param attentionMillisPerMillionPairs prefill attention time for a million pairs of a prompt
 *     token and an earlier token
 * @param prefillChunkTokens most prompt tokens that are prefilled between two decode steps
 * @param stepsPerPass decode steps in one pass; a pass emits one event for each request in the
 *     batch
 * @param hopLatencyMillis time that each decode step takes longer while parts of the prompt are
 *     held by other engines
 */
public record EngineCost(
        int maximumConcurrentRequests,
        long kvCacheTokens,
        double baseStepMillis,
        double stepMillisPerRequest,
        double stepMillisPerThousandTokens,
        double prefillTokensPerMilli,
        double attentionMillisPerMillionPairs,
        int prefillChunkTokens,
        int stepsPerPass,
        double hopLatencyMillis) {
    private static final double MILLION = 1e6;
    private static final double THOUSAND = 1e3;

    /** Returns the prefill time of a prompt on an otherwise idle engine. */
    public double prefillMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2;
        return tokens / prefillTokensPerMilli + pairs / MILLION * attentionMillisPerMillionPairs;
    }

    /**
     * Returns the time of one decode pass of a batch.
     *
     * @param requests requests in the batch
     * @param contextTokens tokens of context of all requests together
     */
    public double decodePassMillis(int requests, long contextTokens) {
        double step =
                baseStepMillis
                        + requests * stepMillisPerRequest
                        + contextTokens / THOUSAND * stepMillisPerThousandTokens;
        return stepsPerPass * step;
    }

    /** Returns the most prompt tokens that are prefilled within one decode pass. */
    public long prefillTokensPerPass() {
        return (long) prefillChunkTokens * stepsPerPass;
    }
}
