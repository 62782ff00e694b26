package dev.kumquatweir.policy.permit;

import dev.kumquatweir.core.identity.UpstreamId;

/** Something that all instances together may use only up to a limit. Immutable. */
public sealed interface PermitResource {
    /**
     * Requests running on a cold upstream.
     *
     * @param upstream the upstream
     */
    record ColdRequests(UpstreamId upstream) implements PermitResource {}

    /**
     * Prompt tokens not yet processed on a cold upstream.
     *
     * @param upstream the upstream
     */
    record ColdPrefill(UpstreamId upstream) implements PermitResource {}

    /**
     * Memory of an engine for large prompts, in tokens.
     *
     * @param upstream the engine
     */
    record EngineMemory(UpstreamId upstream) implements PermitResource {}

    /**
     * Runs of one request that is suspected of crashing upstreams; the limit is always 1.
     *
     * @param contentHash hash of its content
     */
    record SuspectRun(String contentHash) implements PermitResource {}

    /** Loads from the weight store; limited by rate and spent when granted. */
    record WeightStoreLoads() implements PermitResource {}
}
