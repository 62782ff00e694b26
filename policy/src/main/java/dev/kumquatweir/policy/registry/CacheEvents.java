package dev.kumquatweir.policy.registry;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;

/**
 * Changes of an engine's prefix cache. Late and with gaps. Immutable.
 *
 * @param id the engine
 * @param incarnation the start of the engine that reports
 * @param firstSequence sequence number of the first event, from 1; the others follow without a gap.
 *     {@link #FULL_SNAPSHOT} marks the whole content of the cache, which replaces what was known
 * @param events the changes, oldest first
 */
public record CacheEvents(
        UpstreamId id, long incarnation, long firstSequence, List<CacheEvent> events) {

    /** First sequence number of a message that carries the whole list after a gap. */
    public static final long FULL_SNAPSHOT = 0;

    /** Copies the list, so that the record is immutable. */
    public CacheEvents {
        events = List.copyOf(events);
    }

    /**
     * One change.
     *
     * @param stored true if the prefix was stored, false if it was evicted
     * @param prefixHash chained hash of the blocks up to here
     * @param tokens length of the prefix in tokens
     */
    public record CacheEvent(boolean stored, long prefixHash, long tokens) {}
}
