package dev.kumquatweir.gateway.forward;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller says of a request beside its body. Immutable.
 *
 * @param requestId id of this request, which upstreams echo; empty if the caller gave none
 * @param host host that selects the route, without a port
 * @param path path that selects the route, as sent
 * @param apiKey key of the caller's team, if it showed one
 * @param remainingMillis how long the caller will wait, if it says so
 * @param promptTokens length of the prompt, 0 for a call that is no generation
 * @param expectedOutputTokens expected length of the answer
 * @param lastEventId id of the last event that the caller has, -1 if it has none
 */
public record CallerRequestHead(
        String requestId,
        String host,
        String path,
        Optional<String> apiKey,
        OptionalLong remainingMillis,
        long promptTokens,
        long expectedOutputTokens,
        long lastEventId) {}
