package dev.kumquatweir.policy.placement;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * The finding that upstreams crash on a part of prompts, or on at least one of several parts that
 * always crashed together. Immutable.
 *
 * @param parts the parts
 * @param strikes number of independent strikes
 * @param upstreams the upstreams that crashed
 * @param crashedNanos time of the last crash
 * @param holdNanos time after the last crash from which on a probe may run
 */
record Conviction(
        SortedSet<String> parts,
        int strikes,
        List<String> upstreams,
        long crashedNanos,
        long holdNanos) {
    private static final String SEPARATOR = "+";

    static Conviction of(List<SuspectPart> group) {
        SuspectPart first = group.get(0);
        SortedSet<String> parts = new TreeSet<>();
        group.forEach(suspect -> parts.add(suspect.part()));
        return new Conviction(
                parts,
                first.strikes(),
                first.upstreams().stream().map(UpstreamLife::upstream).toList(),
                group.stream().mapToLong(SuspectPart::lastNanos).max().orElse(0),
                group.stream().mapToLong(SuspectPart::holdNanos).max().orElse(0));
    }

    /** Returns the parts as one text, see {@link QuarantinedPart#part}. */
    String name() {
        return String.join(SEPARATOR, parts);
    }

    static List<String> parseName(String name) {
        return List.of(name.split("\\" + SEPARATOR, -1));
    }

    /** Returns whether requests with all of the parts are rejected without a probe. */
    boolean holds(long nowNanos) {
        return nowNanos - crashedNanos < holdNanos;
    }

    QuarantinedPart toQuarantinedPart(long nowNanos) {
        // Rounded up, so that a part does not become younger on its way between instances.
        long ageNanos = Math.max(0, nowNanos - crashedNanos);
        return new QuarantinedPart(name(), TimeUnit.NANOSECONDS.toMillis(ageNanos) + 1);
    }
}
