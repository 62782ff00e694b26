package dev.kumquatweir.policy.registry;

import org.jspecify.annotations.Nullable;

/**
 * What an instance knows of one upstream at one time. Immutable.
 *
 * @param announcement its newest announcement
 * @param load its newest load report, null before the first
 * @param lastSeenNanos when it was last heard of, by any instance
 * @param loadReceivedNanos when the load report arrived
 */
public record UpstreamState(
        Announcement announcement,
        @Nullable LoadReport load,
        long lastSeenNanos,
        long loadReceivedNanos) {

    /** Returns whether the upstream says that it is cold, by its newest word. */
    public boolean cold() {
        return load == null ? announcement.cold() : load.cold();
    }
}
