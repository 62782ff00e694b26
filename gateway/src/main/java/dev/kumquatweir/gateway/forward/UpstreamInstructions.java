package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import java.util.Optional;

/**
 * What an upstream is sent in headers in addition to the request. Immutable.
 *
 * @param upstream the only upstream that may execute the request
 * @param remainingMillis time until the deadline of the request
 * @param team name of the caller's team, if it has one
 * @param lastEventId id of the event after which the stream is resumed, -1 to keep the caller's
 *     header
 * @param helpers engines that prefill parts of the prompt
 */
public record UpstreamInstructions(
        UpstreamId upstream,
        long remainingMillis,
        Optional<String> team,
        long lastEventId,
        List<HelperAddress> helpers) {
    /** Copies the list of helpers. */
    public UpstreamInstructions {
        helpers = List.copyOf(helpers);
    }
}
