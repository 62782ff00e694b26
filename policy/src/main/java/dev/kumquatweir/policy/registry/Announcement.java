package dev.kumquatweir.policy.registry;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.Set;

/**
 * What an upstream says of itself when it starts. Immutable.
 *
 * @param id stable name of the upstream
 * @param incarnation grows with each start of the upstream
 * @param address IP address and port
 * @param domain failure domain it runs in
 * @param kind engine or plain service
 * @param service the service it belongs to
 * @param models models it has loaded, empty for a plain service
 * @param memoryTokens KV cache memory in tokens, 0 for a plain service
 * @param role phases of generation it takes
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param cold whether it is in cold start
 * @param coldLimit what it bears while cold
 * @param maximumRunning largest number of requests it runs at once
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
