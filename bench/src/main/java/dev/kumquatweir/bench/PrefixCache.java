package dev.kumquatweir.bench;

import dev.kumquatweir.policy.registry.CacheEvents;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Blocks of prompts that an engine keeps; the least recently used go first. */
final class PrefixCache {
    private final LinkedHashMap<Long, Integer> mBlocks = new LinkedHashMap<>(1024, 0.75f, true);
    private final List<CacheEvents.CacheEvent> mChanges = new ArrayList<>();
    private long mNextSequence = 1;

    /** Returns the leading tokens of a prompt that are cached. */
    long cachedTokens(List<Long> hashes) {
        long tokens = 0;
        for (Long hash : hashes) {
            if (mBlocks.get(hash) == null) {
                return tokens;
            }
            tokens += EngineConstants.BLOCK_TOKENS;
        }
        return tokens;
    }

    /** Stores the blocks of a prompt that fit the free memory. */
    void store(List<Long> hashes, long freeTokens) {
        long place = 0;
        for (Long hash : hashes) {
            place += EngineConstants.BLOCK_TOKENS;
            if (place > freeTokens) {
                break;
            }
            if (mBlocks.put(hash, (int) place) == null) {
                mChanges.add(new CacheEvents.CacheEvent(true, hash, place));
            }
        }
        shrink(freeTokens);
    }

    /** Evicts blocks until the cache fits the free memory. */
    void shrink(long freeTokens) {
        var blocks = mBlocks.entrySet().iterator();
        long surplus = tokens() - freeTokens;
        while (surplus > 0 && blocks.hasNext()) {
            Map.Entry<Long, Integer> block = blocks.next();
            mChanges.add(new CacheEvents.CacheEvent(false, block.getKey(), block.getValue()));
            blocks.remove();
            surplus -= EngineConstants.BLOCK_TOKENS;
        }
    }

    /** Returns the memory in use. */
    long tokens() {
        return (long) mBlocks.size() * EngineConstants.BLOCK_TOKENS;
    }

    /** Returns the sequence number of the next change. */
    long nextSequence() {
        return mNextSequence;
    }

    /** Returns and forgets the changes since the last call. */
    List<CacheEvents.CacheEvent> takeChanges() {
        List<CacheEvents.CacheEvent> changes = List.copyOf(mChanges);
        mNextSequence += changes.size();
        mChanges.clear();
        return changes;
    }

    /** Returns the whole content as changes, without forgetting anything. */
    List<CacheEvents.CacheEvent> whole() {
        return mBlocks.entrySet().stream()
                .map(block -> new CacheEvents.CacheEvent(true, block.getKey(), block.getValue()))
                .toList();
    }

    /** Loses everything. */
    void clear() {
        mBlocks.clear();
        mChanges.clear();
        mNextSequence = 1;
    }
}
