package dev.kumquatweir.policy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Attributes crashes of upstreams to parts of prompts. Owned by {@link PlacementScheduler}; not
 * thread-safe.
 */
final class CrashAttribution {
    private static final int MAXIMUM_EVENTS = 200;

    /** Strikes that stand for the finding of another scheduler. */
    private static final int IMPORTED_STRIKES = 5;

    private static final int MAXIMUM_EXPORTED = 200;

    /** The requests that one crash breaks off are reported within this time. */
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final CrashSuspects mSuspects = new CrashSuspects();
    private final PartQuarantine mQuarantine = new PartQuarantine(mSuspects);
    private final List<CrashEvent> mEvents = new ArrayList<>();
    private boolean mUnsettled;
    private long mUnsettledNanos;

    /** Records the first event of an answer. */
    void begun(PlacementUpstream upstream, PlacementRequest request, long nowNanos) {
        mSuspects.begun(upstream, request, nowNanos);
        progressed(upstream, nowNanos);
    }

    /** Records that an upstream broke off a request. */
    void brokenOff(PlacementUpstream upstream, PlacedPart placed, long nowNanos) {
        Map<String, Integer> strikes = mSuspects.brokenOff(upstream, placed, nowNanos);
        if (!strikes.isEmpty()) {
            report(
                    new CrashEvent.Suspects(
                            placed.request().requestId(), upstream.notice().id().value(), strikes));
            if (!mUnsettled) {
                mUnsettled = true;
                mUnsettledNanos = nowNanos;
            }
        }
    }

    /** Decides anew if strikes have changed and all requests of the last crash are reported. */
    private void settle(long nowNanos) {
        boolean changed = mSuspects.clearOutlived(nowNanos);
        if (mUnsettled ? nowNanos - mUnsettledNanos >= SETTLE_NANOS : changed) {
            update(nowNanos);
        }
    }

    private void update(long nowNanos) {
        mUnsettled = false;
        List<Conviction> previous = mQuarantine.convictions();
        for (Conviction conviction : mQuarantine.update(nowNanos)) {
            report(
                    new CrashEvent.Quarantined(
                            conviction.name(), conviction.strikes(), conviction.upstreams()));
        }
        Set<String> names = new HashSet<>();
        mQuarantine.convictions().forEach(conviction -> names.add(conviction.name()));
        previous.stream()
                .map(Conviction::name)
                .filter(name -> !names.contains(name))
                .forEach(name -> report(new CrashEvent.Cleared(name)));
    }

    /** Returns whether a request may run by the parts of its prompt. */
    PartVerdict verdict(PlacementRequest request, long nowNanos) {
        settle(nowNanos);
        PartVerdict verdict = mQuarantine.verdict(request, nowNanos);
        boolean undecided =
                mUnsettled
                        && verdict != PartVerdict.QUARANTINED
                        && mQuarantine.hasCandidate(request, nowNanos);
        return undecided ? PartVerdict.WAIT : verdict;
    }

    /** Records that a request is placed. */
    void placed(PlacementRequest request) {
        mQuarantine.placed(request);
    }

    /** Records the end of a placement. */
    void ended(PlacementKey key) {
        mSuspects.ended(key);
        mQuarantine.ended(key);
    }

    /** Returns the parts that are quarantined, those with the youngest crash first. */
    List<QuarantinedPart> quarantinedParts(long nowNanos) {
        settle(nowNanos);
        return mQuarantine.convictions().stream()
                .map(conviction -> conviction.toQuarantinedPart(nowNanos))
                .sorted(Comparator.comparingLong(QuarantinedPart::ageMillis))
                .limit(MAXIMUM_EXPORTED)
                .toList();
    }

    /** Adds parts that another scheduler has quarantined. */
    void addQuarantinedParts(List<QuarantinedPart> quarantined, long nowNanos) {
        for (QuarantinedPart entry : quarantined) {
            long crashedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(entry.ageMillis());
            List<String> parts =
                    Conviction.parseName(entry.part()).stream()
                            .filter(part -> !mSuspects.answeredAfter(part, crashedNanos))
                            .toList();
            mSuspects.addStrikes(parts, IMPORTED_STRIKES, crashedNanos, nowNanos);
        }
        if (!quarantined.isEmpty()) {
            update(nowNanos);
        }
    }

    /** Forgets the strikes of parts that another scheduler has released. */
    void removeQuarantinedParts(List<String> names, long nowNanos) {
        names.forEach(name -> mSuspects.forget(Conviction.parseName(name)));
        if (!names.isEmpty()) {
            update(nowNanos);
        }
    }

    /** Records a first event or an answer of an upstream. */
    void progressed(PlacementUpstream upstream, long nowNanos) {
        List<String> takenBack = mSuspects.progressed(upstream, nowNanos);
        if (!takenBack.isEmpty()) {
            report(new CrashEvent.Refuted(upstream.notice().id().value(), takenBack));
            updateUnlessUnsettled(nowNanos);
        }
    }

    /** Records a complete answer. */
    void answered(PlacementRequest request, long nowNanos) {
        if (mSuspects.answered(request, nowNanos)) {
            updateUnlessUnsettled(nowNanos);
        }
    }

    private void updateUnlessUnsettled(long nowNanos) {
        if (!mUnsettled) {
            update(nowNanos);
        }
    }

    /** Returns the conclusions since the last call; the oldest are lost if nobody calls. */
    List<CrashEvent> drainEvents() {
        List<CrashEvent> events = List.copyOf(mEvents);
        mEvents.clear();
        return events;
    }

    private void report(CrashEvent event) {
        if (mEvents.size() == MAXIMUM_EVENTS) {
            mEvents.remove(0);
        }
        mEvents.add(event);
    }
}
