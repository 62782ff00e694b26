package dev.kumquatweir.policy.quarantine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Counts for each part that prompts share on how many upstreams it was when they crashed at the
 * beginning of an answer. A complete answer clears its parts, so that only parts on which upstreams
 * crash gather strikes. Not thread-safe: part of {@link Quarantine}.
 */
final class PartStrikes {
    private static final int STRIKE_LIMIT = 3;

    /** A part that has been answered once fails by chance more often than for its content. */
    private static final int ANSWERED_STRIKE_LIMIT = 5;

    private static final int MAXIMUM_ANSWERED_PARTS = 10_000;

    private final MarkStore mMarks;
    private final long mLifetimeNanos;
    private final Map<String, Long> mLastStrikes = new HashMap<>();

    /** Time of the last complete answer of this instance by part, the most recent last. */
    private final Map<String, Long> mAnswered = new LinkedHashMap<>();

    PartStrikes(MarkStore marks, long lifetimeNanos) {
        mMarks = marks;
        mLifetimeNanos = lifetimeNanos;
    }

    /**
     * Counts a crash against the parts of the prompt of an attempt. Attempts that run at the same
     * time may fail for one common reason, so a crash counts only if the attempt was placed after
     * the previous strike of the part. For that reason the loss of a domain is not excepted: it
     * breaks its attempts at once, while engines that crash one after the other on a part that many
     * prompts share look like it.
     */
    void strike(QuarantineRun run, SuspicionState state, long nowNanos) {
        for (String part : run.mSharedParts) {
            Long last = mLastStrikes.get(part);
            boolean independent = last == null || run.mStartedNanos - last >= 0;
            if (independent || mMarks.strikes(part, nowNanos).contains(run.mIncarnation)) {
                mMarks.blame(part, run.mIncarnation, state, nowNanos);
                mLastStrikes.merge(part, run.mBrokenNanos, Math::max);
            }
        }
    }

    /**
     * Records a complete answer, which shows that its parts are sound.
     *
     * @return whether one of them had a strike
     */
    boolean answered(List<String> parts, long nowNanos) {
        boolean cleared = false;
        for (String part : parts) {
            cleared |= !mMarks.strikes(part, nowNanos).isEmpty();
            mMarks.excuse(part);
            mAnswered.remove(part);
            mAnswered.put(part, nowNanos);
        }
        while (mAnswered.size() > MAXIMUM_ANSWERED_PARTS) {
            mAnswered.remove(mAnswered.keySet().iterator().next());
        }
        return cleared;
    }

    /** Takes back the strikes of an upstream that did not crash. */
    void excuse(UpstreamIncarnation incarnation) {
        mMarks.excuse(incarnation);
    }

    /**
     * Returns the strikes of the part for which a prompt is refused, 0 if it is not. Parts that
     * always stood beside the cause of the crashes have the same strikes, so strikes do not count
     * if a part that this prompt does not have explains them.
     */
    int strikesToRefuse(List<String> parts, long nowNanos) {
        List<String> struckOut =
                parts.stream().filter(part -> struckOut(part, Set.of(), nowNanos)).toList();
        if (struckOut.isEmpty()) {
            return 0;
        }
        Set<UpstreamIncarnation> explained =
                mMarks.hashes().stream()
                        .filter(part -> !parts.contains(part))
                        .filter(part -> struckOut(part, Set.of(), nowNanos))
                        .flatMap(part -> mMarks.strikes(part, nowNanos).stream())
                        .collect(Collectors.toSet());
        return struckOut.stream()
                .filter(part -> struckOut(part, explained, nowNanos))
                .mapToInt(part -> mMarks.strikes(part, nowNanos).size())
                .max()
                .orElse(0);
    }

    /** Returns the marks to send to other instances. */
    List<QuarantineMark> spread(long nowNanos) {
        return mMarks.spread(nowNanos).stream()
                .map(mark -> QuarantineMark.ofPart(mark.contentHash(), mark.suspicions()))
                .toList();
    }

    void absorb(QuarantineMark mark, long nowNanos) {
        String part = mark.part();
        Set<UpstreamIncarnation> before = mMarks.strikes(part, nowNanos);
        mMarks.absorb(new QuarantineMark(part, mark.suspicions()), nowNanos);
        if (!before.containsAll(mMarks.strikes(part, nowNanos))) {
            mLastStrikes.merge(part, nowNanos, Math::max);
        }
    }

    void expire(long nowNanos) {
        mMarks.expire(nowNanos);
        mLastStrikes.keySet().retainAll(mMarks.hashes());
        mAnswered.values().removeIf(at -> nowNanos - at > mLifetimeNanos);
    }

    private boolean struckOut(String part, Set<UpstreamIncarnation> explained, long nowNanos) {
        boolean answered = mAnswered.containsKey(part) || mMarks.excused(part, nowNanos);
        long strikes =
                mMarks.strikes(part, nowNanos).stream()
                        .filter(incarnation -> !explained.contains(incarnation))
                        .count();
        return strikes >= (answered ? ANSWERED_STRIKE_LIMIT : STRIKE_LIMIT);
    }
}
