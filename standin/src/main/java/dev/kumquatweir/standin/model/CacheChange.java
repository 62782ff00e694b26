package dev.kumquatweir.standin.model;

/**
 * A change of the prefix cache.
 *
 * @param operation {@code stored} or {@code evicted}
 * @param prefixHash chained hash of the blocks up to here
 * @param tokens length of the prefix in tokens
 */
public record CacheChange(String operation, long prefixHash, long tokens) {
    /** Operation of a block that was stored. */
    public static final String STORED = "stored";

    /** Operation of a block that was evicted. */
    public static final String EVICTED = "evicted";
}
