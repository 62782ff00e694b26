package dev.kumquatweir.policy.placement;

/**
 * One run of the process of an upstream. Immutable.
 *
 * @param upstream identifier of the upstream; a restarted process may use it again
 * @param startedAtMillis start of the process by its own wall clock
 */
record UpstreamLife(String upstream, long startedAtMillis) {
    static UpstreamLife of(PlacementUpstream upstream) {
        return new UpstreamLife(
                upstream.notice().id().value(), upstream.notice().startedAtMillis());
    }
}
