package dev.kumquatweir.gateway.upstream;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.concurrent.CompletionStage;

/**
 * Takes what upstreams report to this instance: for its own policy, and to be spread to the other
 * instances. Implementations are thread-safe and never block.
 */
public interface UpstreamIntake {
    /** Takes an announcement. */
    void announced(Announcement announcement);

    /** Takes a load report; completes with false if the upstream has to announce itself. */
    CompletionStage<Boolean> reported(LoadReport report);

    /** Takes cache events; completes with false if the upstream has to send its whole list. */
    CompletionStage<Boolean> cacheChanged(CacheEvents events);

    /** Takes the word of an upstream that it leaves. */
    void left(UpstreamId upstream, long incarnation);
}
