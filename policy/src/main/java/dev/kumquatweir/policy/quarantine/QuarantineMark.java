package dev.kumquatweir.policy.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * Suspicions against a request, exchanged between instances. Merging is commutative, associative
 * and idempotent. Immutable.
 *
 * @param contentHash content hash of the request, or name of a part that prompts share
 * @param suspicions suspicions by the upstream incarnation on which the request ran
 */
public record QuarantineMark(String contentHash, Map<UpstreamIncarnation, Suspicion> suspicions) {
    private static final String PART_PREFIX = "part:";

    /** Copies the map, so that the record is immutable. */
    public QuarantineMark {
        suspicions = Map.copyOf(suspicions);
    }

    /** Returns a mark against a part that prompts share instead of a whole request. */
    static QuarantineMark ofPart(String part, Map<UpstreamIncarnation, Suspicion> suspicions) {
        return new QuarantineMark(PART_PREFIX + part, suspicions);
    }

    /** Returns whether this is a mark against a part that prompts share. */
    public boolean ofPart() {
        return contentHash.startsWith(PART_PREFIX);
    }

    /** Returns the hash of the part of {@link #ofPart()}. */
    String part() {
        return contentHash.substring(PART_PREFIX.length());
    }

    /** Returns the union of two marks of the same request. */
    public QuarantineMark merge(QuarantineMark other) {
        if (!contentHash.equals(other.contentHash)) {
            throw new IllegalArgumentException("marks of different requests can't be merged");
        }
        Map<UpstreamIncarnation, Suspicion> merged = new HashMap<>(suspicions);
        other.suspicions.forEach((death, blame) -> merged.merge(death, blame, Suspicion::merge));
        return new QuarantineMark(contentHash, merged);
    }

    /**
     * Suspicion that a request crashed one upstream incarnation. Immutable.
     *
     * @param state how far the termination is attributed to the request
     * @param remainingNanos time until it expires, as measured by the sender
     */
    public record Suspicion(SuspicionState state, long remainingNanos) {
        /**
         * Returns the suspicion with the later state or, for equal states, with the earlier expiry,
         * so that relaying it can't extend its lifetime.
         */
        public Suspicion merge(Suspicion other) {
            int order = state.compareTo(other.state);
            boolean first = order == 0 ? remainingNanos <= other.remainingNanos : order > 0;
            return first ? this : other;
        }
    }
}
