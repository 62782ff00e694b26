package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.identity.UpstreamId;

/**
 * An upstream that failed while it ran a request, as schedulers pass it to each other. Immutable.
 *
 * @param contentHash hash of the content of the request
 * @param upstream the upstream
 * @param ageMillis time since the last crash on this content
 */
public record RecordedCrash(String contentHash, UpstreamId upstream, long ageMillis) {}
