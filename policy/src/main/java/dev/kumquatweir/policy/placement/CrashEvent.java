package dev.kumquatweir.policy.placement;

import java.util.List;
import java.util.Map;

/** What {@link PlacementScheduler} concluded from a crash of an upstream, for logs. */
public sealed interface CrashEvent {
    /**
     * An upstream broke off a request before its answer or shortly after the first event.
     *
     * @param requestId identifier of the request
     * @param upstream the upstream
     * @param strikes the parts of its prompt, with the number of their strikes
     */
    record Suspects(String requestId, String upstream, Map<String, Integer> strikes)
            implements CrashEvent {
        /** Copies the map. */
        public Suspects {
            strikes = Map.copyOf(strikes);
        }
    }

    /**
     * An upstream that broke off requests has made progress since, so that it did not crash.
     *
     * @param upstream the upstream
     * @param parts the parts whose strikes are taken back
     */
    record Refuted(String upstream, List<String> parts) implements CrashEvent {
        /** Copies the list. */
        public Refuted {
            parts = List.copyOf(parts);
        }
    }

    /**
     * A part of prompts is quarantined.
     *
     * @param part the part, see {@link QuarantinedPart#part}
     * @param strikes number of independent strikes
     * @param upstreams the upstreams that crashed
     */
    record Quarantined(String part, int strikes, List<String> upstreams) implements CrashEvent {
        /** Copies the list. */
        public Quarantined {
            upstreams = List.copyOf(upstreams);
        }
    }

    /**
     * A part of prompts is no longer quarantined: it was in a complete answer, the crashes were
     * refuted, or another part explains them.
     *
     * @param part the part, see {@link QuarantinedPart#part}
     */
    record Cleared(String part) implements CrashEvent {}
}
