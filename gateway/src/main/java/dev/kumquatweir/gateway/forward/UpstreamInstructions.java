package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import java.util.Optional;

/**
 * What an upstream is told beside the request itself. Immutable.
 *
 * @param upstream the only upstream that may run the request
 * @param remainingMillis how long the answer is waited for
 * @param team name of the caller's team, if it has one
 * @param lastEventId id of the event after which a stream goes on, -1 to leave the caller's word
 * @param helpers engines that read parts of the prompt
 */
public record UpstreamInstructions(
        UpstreamId upstream,
        long remainingMillis,
        Optional<String> team,
        long lastEventId,
        List<HelperAddress> helpers) {
    /** Copies the list. */
    public UpstreamInstructions {
        helpers = List.copyOf(helpers);
    }
}
