package dev.kumquatweir.core.routing;

/**
 * What the work of a model engine costs, as its service publishes it. Immutable.
 *
 * @param concurrentRequests requests that run at once on one engine
 * @param memoryTokens tokens of context that an engine holds
 * @param stepMillis time of one decoding step without any request
 * @param requestStepMillis time that each decoding request adds to a step
 * @param contextStepMillis time that 1,000 tokens of context add to a step
 * @param promptTokensPerMilli prompt tokens that are read in one millisecond
 * @param pairMillis time for a million pairs of a prompt token and an earlier token
 * @param chunkTokens most prompt tokens read between two steps
 * @param stepsPerPass decoding steps in one pass, which emits one event for each request
 * @param hopMillis time that each step takes longer while parts of a prompt are on other engines
 */
public record EngineCost(
        int concurrentRequests,
        long memoryTokens,
        double stepMillis,
        double requestStepMillis,
        double contextStepMillis,
        double promptTokensPerMilli,
        double pairMillis,
        int chunkTokens,
        int stepsPerPass,
        double hopMillis) {
    private static final double MILLION = 1e6;
    private static final double THOUSAND = 1e3;

    /** Returns the time to read a prompt on one engine that does nothing else. */
    public double readMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2;
        return tokens / promptTokensPerMilli + pairs / MILLION * pairMillis;
    }

    /** Returns the time of one pass that emits an event for each of these requests. */
    public double passMillis(int requests, long contextTokens) {
        double step =
                stepMillis
                        + requests * requestStepMillis
                        + contextTokens / THOUSAND * contextStepMillis;
        return stepsPerPass * step;
    }

    /** Returns the most prompt tokens that are read within one pass. */
    public long tokensPerPass() {
        return (long) chunkTokens * stepsPerPass;
    }
}
