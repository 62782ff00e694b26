package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides from the strikes of {@link CrashSuspects} on which parts of prompts upstreams crash, and
 * which requests may run. Owned by {@link CrashAttribution}; not thread-safe.
 */
final class PartQuarantine {
    /** Strikes of a part of which no complete answer is known. */
    private static final int STRIKES_UNKNOWN = 3;

    /** Strikes of a part of which a complete answer is known; more parts like it are in use. */
    private static final int STRIKES_ANSWERED = 5;

    private static final int MAXIMUM_CANDIDATES = 200;

    private static final Comparator<SuspectPart> YOUNGEST_FIRST =
            Comparator.comparingLong(SuspectPart::lastNanos).reversed();

    private final CrashSuspects mSuspects;
    private final Map<String, Conviction> mConvictions = new LinkedHashMap<>();
    private final Map<String, Conviction> mByPart = new HashMap<>();

    /** The running probes, with the parts of the convictions that they examine. */
    private final Map<PlacementKey, Set<String>> mProbes = new HashMap<>();

    PartQuarantine(CrashSuspects suspects) {
        mSuspects = suspects;
    }

    /**
     * Decides anew after strikes have changed. A crash is explained by the part with the most
     * strikes that was there; parts that are left with too few strikes were there by chance. Parts
     * with the same strikes can't be told apart.
     *
     * @return the convictions that are new
     */
    List<Conviction> update(long nowNanos) {
        mSuspects.parts().forEach(suspect -> suspect.setConvicted(false));
        List<SuspectPart> candidates =
                new ArrayList<>(
                        mSuspects.parts().stream()
                                .filter(part -> part.strikes() >= threshold(part, nowNanos))
                                .sorted(YOUNGEST_FIRST)
                                .limit(MAXIMUM_CANDIDATES)
                                .toList());
        Map<String, Conviction> previous = new HashMap<>(mConvictions);
        mConvictions.clear();
        mByPart.clear();
        Set<UpstreamLife> explained = new HashSet<>();
        while (!candidates.isEmpty()) {
            List<SuspectPart> group = nextGroup(candidates, explained);
            SuspectPart first = group.get(0);
            if (first.strikesExcept(explained) >= threshold(first, nowNanos)) {
                convict(group);
                explained.addAll(first.upstreams());
            }
            candidates.removeAll(group);
        }
        return mConvictions.values().stream()
                .filter(conviction -> !previous.containsKey(conviction.name()))
                .toList();
    }

    /** Returns whether a part of a request has enough strikes to be quarantined. */
    boolean hasCandidate(PlacementRequest request, long nowNanos) {
        return request.sharedParts().stream()
                .map(mSuspects::find)
                .flatMap(Optional::stream)
                .anyMatch(suspect -> suspect.strikes() >= threshold(suspect, nowNanos));
    }

    private int threshold(SuspectPart suspect, long nowNanos) {
        return mSuspects.knownSound(suspect.part(), nowNanos) ? STRIKES_ANSWERED : STRIKES_UNKNOWN;
    }

    /** Returns the parts with the most unexplained strikes that have the same strikes. */
    private static List<SuspectPart> nextGroup(
            List<SuspectPart> candidates, Set<UpstreamLife> explained) {
        SuspectPart most =
                Collections.max(
                        candidates,
                        Comparator.comparingInt(
                                        (SuspectPart suspect) -> suspect.strikesExcept(explained))
                                .thenComparingInt(suspect -> suspect.upstreams().size()));
        Set<UpstreamLife> upstreams = most.upstreams();
        return candidates.stream()
                .filter(candidate -> candidate.upstreams().equals(upstreams))
                .toList();
    }

    private void convict(List<SuspectPart> group) {
        Conviction conviction = Conviction.of(group);
        mConvictions.put(conviction.name(), conviction);
        for (SuspectPart suspect : group) {
            suspect.setConvicted(true);
            mByPart.put(suspect.part(), conviction);
        }
    }

    PartVerdict verdict(PlacementRequest request, long nowNanos) {
        PartVerdict verdict = PartVerdict.SOUND;
        if (mByPart.isEmpty()) {
            return verdict;
        }
        for (String part : request.sharedParts()) {
            Conviction conviction = mByPart.get(part);
            if (conviction == null) {
                continue;
            }
            boolean holdsAll = request.sharedParts().containsAll(conviction.parts());
            if (holdsAll && conviction.holds(nowNanos)) {
                return PartVerdict.QUARANTINED;
            }
            verdict = isProbed(conviction) ? PartVerdict.WAIT : worse(verdict, PartVerdict.PROBE);
        }
        return verdict;
    }

    private static PartVerdict worse(PartVerdict first, PartVerdict second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    private boolean isProbed(Conviction conviction) {
        return mProbes.values().stream()
                .anyMatch(parts -> conviction.parts().stream().anyMatch(parts::contains));
    }

    /** Records that a request is placed, which makes it a probe if one of its parts needs one. */
    void placed(PlacementRequest request) {
        Set<String> probed = new TreeSet<>();
        for (String part : request.sharedParts()) {
            Conviction conviction = mByPart.get(part);
            if (conviction != null) {
                probed.addAll(conviction.parts());
            }
        }
        if (!probed.isEmpty()) {
            mProbes.put(request.key(), probed);
        }
    }

    /** Records the end of a placement. */
    void ended(PlacementKey key) {
        mProbes.remove(key);
    }

    List<Conviction> convictions() {
        return List.copyOf(mConvictions.values());
    }
}
