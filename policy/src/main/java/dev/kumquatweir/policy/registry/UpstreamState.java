package dev.kumquatweir.policy.registry;

import org.jspecify.annotations.Nullable;

/**
 * Snapshot of what an instance knows about one upstream. Immutable.
 *
 * @param announcement latest announcement
 * @param load latest load report, null before the first
 * @param lastSeenNanos when any instance last received a message from it
 * @param loadReceivedNanos when the latest load report arrived
 */
public record UpstreamState(
        Announcement announcement,
        @Nullable LoadReport load,
        long lastSeenNanos,
        long loadReceivedNanos) {

    /** Returns whether the upstream is in cold start, according to its latest message. */
    public boolean cold() {
        return load == null ? announcement.cold() : load.cold();
    }
}
