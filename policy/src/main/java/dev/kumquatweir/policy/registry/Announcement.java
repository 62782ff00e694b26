package dev.kumquatweir.policy.registry;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Set;

/**
 * Self-description that an upstream sends when it starts. Immutable.
 *
 * @param id stable name of the upstream
 * @param incarnation number that increases with each start of the upstream
 * @param address IP address and port
 * @param domain failure domain it runs in
 * @param kind engine or plain service
 * @param service the service it belongs to
 * @param models models it has loaded, empty for a plain service
 * @param memoryTokens KV cache memory in tokens, 0 for a plain service
 * @param role generation phases it executes
 * @param checksFencing whether it rejects orders with an outdated fencing token
 * @param cold whether it is in cold start
 * @param coldLimit load limit during cold start
 * @param maximumRunning maximum number of concurrently running requests
 */
public record Announcement(
        UpstreamId id,
        long incarnation,
        String address,
        FailureDomain domain,
        UpstreamKind kind,
        ServiceName service,
        Set<ModelName> models,
        long memoryTokens,
        UpstreamRole role,
        boolean checksFencing,
        boolean cold,
        ColdLimit coldLimit,
        int maximumRunning) {

    /** Copies the set of models, so that the record is immutable. */
    public Announcement {
        models = Set.copyOf(models);
    }
}
