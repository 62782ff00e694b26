package dev.kumquatweir.policy.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * What is held against a request, as instances tell each other. Merging is commutative, associative
 * and idempotent. Immutable.
 *
 * @param contentHash hash of the request's content
 * @param suspicions the deaths it was running at
 */
public record QuarantineMark(String contentHash, Map<UpstreamIncarnation, Suspicion> suspicions) {
    /** Copies the map, so that the record is immutable. */
    public QuarantineMark {
        suspicions = Map.copyOf(suspicions);
    }

    /** Returns what both marks say together; both must be of the same request. */
    public QuarantineMark merge(QuarantineMark other) {
        if (!contentHash.equals(other.contentHash)) {
            throw new IllegalArgumentException("marks of different requests can't be merged");
        }
        Map<UpstreamIncarnation, Suspicion> merged = new HashMap<>(suspicions);
        other.suspicions.forEach((death, blame) -> merged.merge(death, blame, Suspicion::merge));
        return new QuarantineMark(contentHash, merged);
    }

    /**
     * One death held against a request. Immutable.
     *
     * @param state how far it is held against the request
     * @param remainingNanos time until it expires, counted by the sender
     */
    public record Suspicion(SuspicionState state, long remainingNanos) {
        /**
         * Takes the word with the later state, and of two with the same state the earlier expiry,
         * so that passing it on can't prolong it.
         */
        public Suspicion merge(Suspicion other) {
            int order = state.compareTo(other.state);
            boolean first = order == 0 ? remainingNanos <= other.remainingNanos : order > 0;
            return first ? this : other;
        }
    }
}
