package dev.kumquatweir.standin;

import dev.kumquatweir.standin.model.CacheChange;
import java.util.List;

/** Bodies of the messages from upstreams to kumquatweir. */
final class UpstreamMessages {
    private UpstreamMessages() {}

    record ColdLimit(int requests, long prefillTokens) {}

    record Announce(
            String id,
            long incarnation,
            String address,
            String failureDomain,
            String kind,
            String service,
            List<String> models,
            long memoryTokens,
            String role,
            boolean checksFencing,
            boolean cold,
            ColdLimit coldLimit,
            int maxRunning) {}

    record Heartbeat(
            String id,
            long incarnation,
            long sequence,
            int running,
            int queued,
            long memoryUsedTokens,
            long prefillBacklogTokens,
            boolean cold) {}

    record CacheEvents(String id, long incarnation, long firstSequence, List<CacheChange> events) {}

    record Leave(String id, long incarnation) {}
}
