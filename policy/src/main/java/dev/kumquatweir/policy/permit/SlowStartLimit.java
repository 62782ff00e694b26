package dev.kumquatweir.policy.permit;

/** What an upstream bears now, by all evidence. Implementations are immutable. */
public sealed interface SlowStartLimit {
    /** It is warm; no permits are needed. */
    record Unlimited() implements SlowStartLimit {}

    /**
     * It is cold or on its way to warm; work needs permits.
     *
     * @param requests requests that may run, over all instances
     * @param prefillTokens prompt tokens that may be unprocessed, over all instances
     */
    record Limited(long requests, long prefillTokens) implements SlowStartLimit {}
}
