package dev.kumquatweir.policy.permit;

/** Current limit of an upstream under slow start. Implementations are immutable. */
public sealed interface SlowStartLimit {
    /** The upstream is warm; requests need no permits. */
    record Unlimited() implements SlowStartLimit {}

    /**
     * The upstream is cold or in slow start; requests need permits.
     *
     * @param requests maximum number of running requests, summed over all instances
     * @param prefillTokens maximum prefill backlog in tokens, summed over all instances
     */
    record Limited(long requests, long prefillTokens) implements SlowStartLimit {}
}
