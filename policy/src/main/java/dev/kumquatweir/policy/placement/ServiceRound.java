package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.EngineCost;
import dev.kumquatweir.core.routing.RoutedService;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * State of one service during one scheduling round, in which the scheduler goes through all waiting
 * requests. Not thread-safe.
 */
final class ServiceRound {
    private final RoutedService mService;
    private final List<PlacementUpstream> mAvailable;
    private final List<PlacementUpstream> mEligible;
    private final @Nullable StandaloneCandidates mCandidates;
    private final long mNowNanos;
    private final int mSlots;
    private final boolean mAnyLimited;
    private int mSlotsInUse;
    private int mLateCount;
    private int mWaitingForLimits;

    /**
     * @param service the service
     * @param available upstreams that accept new work
     * @param eligible those of them whose limit on starts allows a request now
     * @param candidates selects the engines to compare for a generation; null to compare all
     * @param nowNanos present time
     */
    ServiceRound(
            RoutedService service,
            List<PlacementUpstream> available,
            List<PlacementUpstream> eligible,
            @Nullable StandaloneCandidates candidates,
            long nowNanos) {
        mCandidates = candidates;
        mNowNanos = nowNanos;
        mService = service;
        mAvailable = available;
        mEligible = new ArrayList<>(eligible);
        int slots = 0;
        for (PlacementUpstream upstream : available) {
            slots += upstream.usableSlots(nowNanos);
            mSlotsInUse += upstream.primaryCount();
        }
        mSlots = slots;
        mAnyLimited = available.stream().anyMatch(upstream -> upstream.limit().isPresent());
    }

    RoutedService service() {
        return mService;
    }

    boolean hasNoUpstream() {
        return mAvailable.isEmpty();
    }

    int upstreamCount() {
        return mAvailable.size();
    }

    /** Returns the eligible engines to compare for a generation. */
    List<PlacementUpstream> candidates(PlacementRequest request, EngineCost cost) {
        List<PlacementUpstream> eligible = eligible(request);
        return mCandidates == null
                ? eligible
                : mCandidates.select(request, cost, eligible, mNowNanos);
    }

    /** Returns the eligible upstreams that this request does not exclude. */
    List<PlacementUpstream> eligible(PlacementRequest request) {
        if (request.excluded().isEmpty()) {
            return mEligible;
        }
        return mEligible.stream()
                .filter(upstream -> !request.excluded().contains(upstream.notice().id()))
                .toList();
    }

    /**
     * Returns the time until the limits that upstreams name leave room for a request, 0 if it need
     * not wait for them. Counts the request among those that wait for the limits in this round.
     */
    long limitWaitNanos(PlacementRequest request) {
        if (!mAnyLimited) {
            return 0;
        }
        List<PlacementUpstream> usable =
                mAvailable.stream()
                        .filter(upstream -> !request.excluded().contains(upstream.notice().id()))
                        .toList();
        boolean waits =
                !usable.isEmpty()
                        && usable.stream().allMatch(upstream -> upstream.limit().isPresent())
                        && eligible(request).isEmpty();
        if (!waits) {
            return 0;
        }
        double perSecond =
                usable.stream().mapToDouble(upstream -> upstream.usablePerSecond().orElse(0)).sum();
        mWaitingForLimits++;
        return (long) (mWaitingForLimits / perSecond * TimeUnit.SECONDS.toNanos(1));
    }

    /** Returns whether an eligible upstream has a free slot, with its health taken into account. */
    boolean hasFreeSlot(long nowNanos) {
        for (PlacementUpstream upstream : mEligible) {
            int slots = upstream.notice().slots();
            if (upstream.primaryCount() < upstream.availableSlots(slots, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /** Counts a placement, which takes one slot. */
    void countPlacement() {
        mSlotsInUse++;
    }

    /** Removes an upstream whose limit on starts allows no further requests. */
    void removeEligible(PlacementUpstream upstream) {
        mEligible.remove(upstream);
    }

    /** Returns the share of the slots that are in use or waited for, at most 1. */
    double saturation(int waiting) {
        return mSlots == 0 ? 1 : Math.min(1, (double) (mSlotsInUse + waiting) / mSlots);
    }

    /** Returns the number of late requests that wait in this round. */
    int lateCount() {
        return mLateCount;
    }

    void adjustLateCount(int change) {
        mLateCount += change;
    }
}
