package dev.kumquatweir.agreement.state;

import java.util.concurrent.TimeUnit;

/**
 * Size limits of the state. They are part of the state and its snapshots, so that all replicas use
 * the same limits; a new group starts with {@link #STANDARD}.
 *
 * @param claims maximum number of claims; each takes about 550 bytes of heap with keys of 36
 *     characters, and a recorded response about 125 bytes plus its body (see ApplyMeasurement)
 * @param responseBytes maximum total bytes of recorded response bodies; beyond it bodies are not
 *     stored
 * @param retentionMillis how long a claim is retained after the later of its last change and its
 *     deadline
 * @param claimsPerExpiry maximum number of claims that one expiry command examines
 * @param commandResults maximum number of retained command results
 * @param historyChanges maximum number of retained changes
 * @param historyDocuments maximum number of retained documents besides the current one
 * @param historyBytes maximum total bytes of the retained documents
 * @param documentBytes maximum size of a document
 * @param instances maximum number of instances whose incarnation is retained; the one that started
 *     first is evicted
 * @param epochPurposes maximum number of purposes with a fencing epoch
 */
public record StateLimits(
        int claims,
        long responseBytes,
        long retentionMillis,
        int claimsPerExpiry,
        int commandResults,
        int historyChanges,
        int historyDocuments,
        long historyBytes,
        int documentBytes,
        int instances,
        int epochPurposes) {
    /** Limits of a new group. */
    public static final StateLimits STANDARD =
            new StateLimits(
                    100_000,
                    32L * 1024 * 1024,
                    TimeUnit.HOURS.toMillis(24),
                    1_000,
                    10_000,
                    10_000,
                    32,
                    4L * 1024 * 1024,
                    1024 * 1024,
                    4_096,
                    1_024);
}
