package dev.kumquatweir.policy.registry;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * Changes of an engine's prefix cache. Messages may be delayed or lost. Immutable.
 *
 * @param id the engine
 * @param incarnation incarnation of the engine that reports
 * @param firstSequence sequence number of the first event, from 1; the others follow without a gap.
 *     {@link #FULL_SNAPSHOT} marks a snapshot of the whole cache, which replaces all earlier state
 * @param events the changes, oldest first
 */
public record CacheEvents(
        UpstreamId id, long incarnation, long firstSequence, List<CacheEvent> events) {

    /** Value of {@code firstSequence} in a message that carries a full snapshot after a gap. */
    public static final long FULL_SNAPSHOT = 0;

    /** Copies the list, so that the record is immutable. */
    public CacheEvents {
        events = List.copyOf(events);
    }

    /**
     * One change of the cache.
     *
     * @param stored true if the prefix was stored, false if it was evicted
     * @param prefixHash chained hash of the prefix's blocks
     * @param tokens length of the prefix in tokens
     */
    public record CacheEvent(boolean stored, long prefixHash, long tokens) {}
}
