package dev.kumquatweir.core.routing;

/**
 * What the work of a model engine costs, as its service publishes it. Immutable.
 *
 * @param maximumConcurrentRequests requests that run at once on one engine
 * @param kvCacheTokens tokens of context that an engine holds
 * @param baseStepMillis time of one decoding step without any request
 * @param stepMillisPerRequest time that each decoding request adds to a step
 * @param stepMillisPerThousandTokens time that 1,000 tokens of context add to a step
 * @param prefillTokensPerMilli prompt tokens that are read in one millisecond
 * @param attentionMillisPerMillionPairs time for a million pairs of a prompt token and an earlier
 *     token
 * @param prefillChunkTokens most prompt tokens read between two steps
 * @param stepsPerPass decoding steps in one pass, which emits one event for each request
 * @param hopLatencyMillis time that each step takes longer while parts of a prompt are on other
 *     engines
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

    /** Returns the time to read a prompt on one engine that does nothing else. */
    public double prefillMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2;
        return tokens / prefillTokensPerMilli + pairs / MILLION * attentionMillisPerMillionPairs;
    }

    /** Returns the time of one pass that emits an event for each of these requests. */
    public double decodePassMillis(int requests, long contextTokens) {
        double step =
                baseStepMillis
                        + requests * stepMillisPerRequest
                        + contextTokens / THOUSAND * stepMillisPerThousandTokens;
        return stepsPerPass * step;
    }

    /** Returns the most prompt tokens that are read within one pass. */
    public long prefillTokensPerPass() {
        return (long) prefillChunkTokens * stepsPerPass;
    }
}
