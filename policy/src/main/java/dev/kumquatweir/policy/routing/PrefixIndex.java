package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.CacheEvents;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Index of the prompt prefixes that engines probably have in their KV caches, built from their
 * cache events. The events arrive late, so that results are only hints. Not thread-safe: owned by
 * the dispatch duty.
 */
public final class PrefixIndex {
    /** Number of tokens in one block of a prompt. */
    public static final long BLOCK_TOKENS = 256;

    /** Marks that the next sequence number is unknown: a full list carries none. */
    private static final long UNKNOWN_SEQUENCE = -1;

    private final Map<Long, List<UpstreamId>> mHolders = new HashMap<>();
    private final Map<UpstreamId, Engine> mEngines = new HashMap<>();

    /**
     * Applies cache events. Events that were already applied are skipped. After a gap, events are
     * still applied as hints, and the full list is requested until it arrives.
     *
     * @return false if events are missing and the engine has to send its full list
     */
    public boolean apply(CacheEvents events) {
        Engine engine = mEngines.computeIfAbsent(events.id(), key -> new Engine());
        if (events.incarnation() < engine.mIncarnation) {
            return true;
        }
        if (events.incarnation() > engine.mIncarnation) {
            remove(events.id(), engine);
            engine.mIncarnation = events.incarnation();
            engine.mNext = 1;
            engine.mAwaitsList = false;
        }
        if (events.firstSequence() == CacheEvents.FULL_SNAPSHOT) {
            remove(events.id(), engine);
            events.events().forEach(event -> apply(events.id(), engine, event));
            engine.mAwaitsList = false;
            engine.mNext = UNKNOWN_SEQUENCE;
            return true;
        }
        if (engine.mNext == UNKNOWN_SEQUENCE) {
            engine.mNext = events.firstSequence();
        }
        if (events.firstSequence() > engine.mNext) {
            engine.mAwaitsList = true;
        }
        long sequence = events.firstSequence();
        for (CacheEvents.CacheEvent event : events.events()) {
            if (sequence >= engine.mNext) {
                apply(events.id(), engine, event);
            }
            sequence++;
        }
        engine.mNext = Math.max(engine.mNext, sequence);
        return !engine.mAwaitsList;
    }

    /** Removes an engine that failed or left. */
    public void forget(UpstreamId upstream) {
        Engine engine = mEngines.remove(upstream);
        if (engine != null) {
            remove(upstream, engine);
        }
    }

    /**
     * Returns the number of prompt tokens cached on an engine that has the longest known prefix, or
     * 0 if no engine has any.
     */
    public long cachedTokens(List<Long> prefixHashes, long promptTokens) {
        return holders(prefixHashes).stream()
                .findFirst()
                .map(holder -> cachedBlocks(holder, prefixHashes))
                .map(blocks -> Math.min(promptTokens, blocks * BLOCK_TOKENS))
                .orElse(0L);
    }

    /**
     * Returns the number of leading blocks of a prompt that an engine has cached. A chain of hashes
     * has gaps only after events were lost, so that a binary search is accurate enough for a hint.
     */
    public int cachedBlocks(UpstreamId upstream, List<Long> prefixHashes) {
        Engine engine = mEngines.get(upstream);
        if (engine == null || engine.mStored.isEmpty()) {
            return 0;
        }
        int low = 0;
        int high = prefixHashes.size();
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (engine.mStored.contains(prefixHashes.get(middle - 1))) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }

    /** Returns the engines that have the longest known prefix of a prompt. */
    public List<UpstreamId> holders(List<Long> prefixHashes) {
        int low = 0;
        int high = prefixHashes.size();
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (mHolders.containsKey(prefixHashes.get(middle - 1))) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low == 0 ? List.of() : mHolders.getOrDefault(prefixHashes.get(low - 1), List.of());
    }

    private void apply(UpstreamId upstream, Engine engine, CacheEvents.CacheEvent event) {
        if (event.stored()) {
            if (engine.mStored.add(event.prefixHash())) {
                mHolders.computeIfAbsent(event.prefixHash(), key -> new ArrayList<>(2))
                        .add(upstream);
            }
        } else if (engine.mStored.remove(event.prefixHash())) {
            dropHolder(event.prefixHash(), upstream);
        }
    }

    private void remove(UpstreamId upstream, Engine engine) {
        engine.mStored.forEach(hash -> dropHolder(hash, upstream));
        engine.mStored.clear();
    }

    private void dropHolder(Long hash, UpstreamId upstream) {
        mHolders.computeIfPresent(
                hash,
                (key, holders) -> {
                    holders.remove(upstream);
                    return holders.isEmpty() ? null : holders;
                });
    }

    private static final class Engine {
        private final Set<Long> mStored = new HashSet<>();
        private long mIncarnation = Long.MIN_VALUE;
        private long mNext;
        private boolean mAwaitsList;
    }
}
