package dev.kumquatweir.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The request line and headers of a caller's request, decoded by {@link RequestDialect}. Immutable.
 *
 * @param requestId id of the request, which upstreams return; empty if the caller sent none
 * @param host host that selects the route, without a port
 * @param path path that selects the route, as sent
 * @param apiKey API key of the caller's team, if it sent one
 * @param remainingMillis time until the caller gives up, if it sent one
 * @param promptTokens length of the prompt, 0 for a request that generates nothing
 * @param expectedOutputTokens expected length of the output
 * @param outputLimitTokens most output tokens that the caller allows, 0 if it names no limit
 * @param outputHintTokens the caller's estimate of the output tokens, 0 if it gives none
 * @param lastEventId id of the last event that the caller received, -1 if none
 * @param sharedParts ids of the parts of the prompt that other requests may share, in order; empty
 *     if the prompt has none
 * @param promptIdentity text that differs between different prompts; empty if the prompt is in the
 *     body alone
 */
public record CallerRequestHead(
        String requestId,
        String host,
        String path,
        Optional<String> apiKey,
        OptionalLong remainingMillis,
        long promptTokens,
        long expectedOutputTokens,
        long outputLimitTokens,
        long outputHintTokens,
        long lastEventId,
        List<String> sharedParts,
        String promptIdentity) {
    /** Copies the list. */
    public CallerRequestHead {
        sharedParts = List.copyOf(sharedParts);
    }
}
