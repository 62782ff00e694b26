package dev.kumquatweir.standin.model;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Blocks of prompts that need no second prefill, evicted in the order of their last use. Not
 * thread-safe.
 */
final class PrefixCache {
    /** Tokens of one block. */
    static final long BLOCK_TOKENS = 256;

    private final LinkedHashMap<Long, Long> mPrefixTokens = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheChange> mChanges = new ArrayList<>();

    /** Returns the length of the longest cached prefix in tokens and marks its blocks as used. */
    long lookUp(List<Long> prefixHashes) {
        int blocks = 0;
        while (blocks < prefixHashes.size()
                && mPrefixTokens.containsKey(prefixHashes.get(blocks))) {
            blocks++;
        }
        touch(prefixHashes.subList(0, blocks));
        return blocks * BLOCK_TOKENS;
    }

    /** Stores the blocks of a prompt, as many as fit the capacity, first block first. */
    void store(List<Long> prefixHashes, long capacityTokens) {
        int fitting = (int) Math.min(prefixHashes.size(), capacityTokens / BLOCK_TOKENS);
        List<Long> stored = prefixHashes.subList(0, Math.max(0, fitting));
        for (int block = 0; block < stored.size(); block++) {
            long tokens = (block + 1) * BLOCK_TOKENS;
            if (mPrefixTokens.put(stored.get(block), tokens) == null) {
                mChanges.add(new CacheChange(CacheChange.STORED, stored.get(block), tokens));
            }
        }
        touch(stored);
        shrink(capacityTokens);
    }

    /** Evicts the least recently used blocks until the rest fits. */
    void shrink(long capacityTokens) {
        Iterator<Map.Entry<Long, Long>> oldest = mPrefixTokens.entrySet().iterator();
        while (usedTokens() > Math.max(0, capacityTokens) && oldest.hasNext()) {
            Map.Entry<Long, Long> entry = oldest.next();
            mChanges.add(new CacheChange(CacheChange.EVICTED, entry.getKey(), entry.getValue()));
            oldest.remove();
        }
    }

    long usedTokens() {
        return mPrefixTokens.size() * BLOCK_TOKENS;
    }

    /** Returns the changes since the last call. */
    List<CacheChange> takeChanges() {
        List<CacheChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /** Returns all blocks as changes that store them. */
    List<CacheChange> entries() {
        return mPrefixTokens.entrySet().stream()
                .map(entry -> new CacheChange(CacheChange.STORED, entry.getKey(), entry.getValue()))
                .toList();
    }

    void clear() {
        mPrefixTokens.clear();
        mChanges.clear();
    }

    /** Uses the last block first, so that the end of a prefix is evicted before its start. */
    private void touch(List<Long> blocks) {
        for (int block = blocks.size() - 1; block >= 0; block--) {
            mPrefixTokens.get(blocks.get(block));
        }
    }
}
