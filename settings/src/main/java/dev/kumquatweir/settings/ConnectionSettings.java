package dev.kumquatweir.settings;

/**
 * Limits of HTTP connections, from the section {@code [limits]}. Immutable.
 *
 * @param headBytes most bytes of a head or of trailers
 * @param headFields most lines of a head or of trailers
 * @param headMillis time from the first byte of a request to the end of its head
 * @param bodyStallMillis time for which nothing may come of a body that is being read
 * @param unreadMillis time for which nothing may be read of a response
 * @param pipelinedRequests requests of a connection that are decoded before the first has a
 *     response
 * @param callerConnections most connections of callers; 0 to derive them from the descriptors
 * @param memoryBytes memory for incomplete heads, held requests and unread responses of all
 *     connections; 0 to derive it from the heap
 */
public record ConnectionSettings(
        int headBytes,
        int headFields,
        long headMillis,
        long bodyStallMillis,
        long unreadMillis,
        int pipelinedRequests,
        int callerConnections,
        long memoryBytes) {
    private static final int LOWEST_HEAD_BYTES = 16 << 10;
    private static final int HIGHEST_HEAD_BYTES = 16 << 20;
    private static final long LONGEST_MILLIS = 86_400_000;
    private static final long MOST_MEMORY_BYTES = 1L << 40;

    /** Defaults; none is reached by a client with a head of 16,384 bytes sent within 3 s. */
    public static final ConnectionSettings DEFAULTS =
            new ConnectionSettings(128 << 10, 512, 15_000, 30_000, 30_000, 16, 0, 0);

    static ConnectionSettings read(TomlTable limits) {
        return new ConnectionSettings(
                (int)
                        limits.wholeNumber(
                                "head_bytes",
                                LOWEST_HEAD_BYTES,
                                HIGHEST_HEAD_BYTES,
                                DEFAULTS.headBytes),
                (int) limits.wholeNumber("head_fields", 16, 100_000, DEFAULTS.headFields),
                limits.wholeNumber("head_millis", 100, LONGEST_MILLIS, DEFAULTS.headMillis),
                limits.wholeNumber(
                        "body_stall_millis", 100, LONGEST_MILLIS, DEFAULTS.bodyStallMillis),
                limits.wholeNumber("unread_millis", 100, LONGEST_MILLIS, DEFAULTS.unreadMillis),
                (int)
                        limits.wholeNumber(
                                "pipelined_requests", 1, 10_000, DEFAULTS.pipelinedRequests),
                (int) limits.wholeNumber("caller_connections", 0, 1_000_000, 0),
                limits.wholeNumber("connection_memory_bytes", 0, MOST_MEMORY_BYTES, 0));
    }
}
