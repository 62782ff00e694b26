package dev.kumquatweir.gateway.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Estimates the length of prompts and hashes their blocks. Thread-safe: holds no state. */
public final class PromptBlocks {
    /** Characters of a token, as the engine protocol estimates them. */
    public static final int CHARACTERS_IN_TOKEN = 4;

    private static final int TOKENS_IN_BLOCK = 256;

    /** Characters of a block that is hashed. */
    public static final int CHARACTERS_IN_BLOCK = CHARACTERS_IN_TOKEN * TOKENS_IN_BLOCK;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PromptBlocks() {}

    /** Returns the estimated number of tokens: characters divided by 4, rounded up. */
    public static long tokens(String prompt) {
        return ((long) prompt.length() + CHARACTERS_IN_TOKEN - 1) / CHARACTERS_IN_TOKEN;
    }

    /**
     * Returns a hash for each whole block of 256 tokens. Each covers all blocks before it too, and
     * the model, since engines don't share cached prefixes between models.
     */
    public static List<Long> hashes(String model, String prompt) {
        long hash = hash(FNV_OFFSET, model, 0, model.length());
        int blocks = prompt.length() / CHARACTERS_IN_BLOCK;
        List<Long> hashes = new ArrayList<>(blocks);
        for (int block = 0; block < blocks; block++) {
            int start = block * CHARACTERS_IN_BLOCK;
            hash = hash(hash, prompt, start, start + CHARACTERS_IN_BLOCK);
            hashes.add(hash);
        }
        return hashes;
    }

    private static long hash(long seed, String text, int start, int end) {
        long hash = seed;
        for (int index = start; index < end; index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }
}
