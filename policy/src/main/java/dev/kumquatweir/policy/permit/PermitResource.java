package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.UpstreamId;

/** A resource with a limit shared by all instances. Implementations are immutable. */
public sealed interface PermitResource {
    /**
     * Requests running on a cold upstream.
     *
     * @param upstream the upstream
     */
    record ColdRequests(UpstreamId upstream) implements PermitResource {}

    /**
     * Prefill backlog of a cold upstream: prompt tokens not yet processed, in tokens.
     *
     * @param upstream the upstream
     */
    record ColdPrefill(UpstreamId upstream) implements PermitResource {}

    /**
     * Memory of an engine that is reserved for prompts split over several engines, in tokens.
     *
     * @param upstream the engine
     */
    record EngineMemory(UpstreamId upstream) implements PermitResource {}

    /**
     * Concurrent runs of a request that is suspected of crashing upstreams; the limit is always 1.
     *
     * @param contentHash hash of the request's content
     */
    record SuspectRun(String contentHash) implements PermitResource {}

    /** Loads from the weight store; limited by rate and consumed when granted. */
    record WeightStoreLoads() implements PermitResource {}
}
