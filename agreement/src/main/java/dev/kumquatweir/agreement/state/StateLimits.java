package dev.kumquatweir.agreement.state;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of the state. They are part of the state and travel with its snapshots, so that all
 * replicas have the same; a new group starts with {@link #STANDARD}.
 *
 * @param claims most claims; each takes about 550 bytes of heap with keys of 36 characters, and a
 *     recorded answer about 125 bytes and its body besides (ApplyMeasurement)
 * @param responseBytes most bytes of recorded answers in all; beyond it only the status is kept
 * @param retentionMillis how long a claim is kept after its outcome or deadline
 * @param claimsPerExpiry most claims that one expiry command looks at
 * @param commandResults most results kept by command id
 * @param historyChanges most changes kept in the history
 * @param historyDocuments most documents kept beside the present one
 * @param historyBytes most bytes of those documents in all
 * @param documentBytes largest document
 * @param instances most instances whose incarnation is kept; the one started first is forgotten
 * @param epochPurposes most purposes with a fencing epoch
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
    /** Values of a new group. */
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
