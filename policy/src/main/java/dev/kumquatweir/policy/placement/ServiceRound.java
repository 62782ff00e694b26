package dev.kumquatweir.policy.placement;

import dev.kumquatweir.core.routing.RoutedService;
import java.util.ArrayList;
import java.util.List;

/**
 * State of one service during one scheduling round, in which the scheduler goes through all waiting
 * requests. Not thread-safe.
 */
final class ServiceRound {
    private final RoutedService mService;
    private final List<PlacementUpstream> mAvailable;
    private final List<PlacementUpstream> mEligible;
    private final int mSlots;
    private int mSlotsInUse;
    private int mLateCount;

    /**
     * @param service the service
     * @param available upstreams that accept new work
     * @param eligible those of them whose limit on starts allows a request now
     */
    ServiceRound(
            RoutedService service,
            List<PlacementUpstream> available,
            List<PlacementUpstream> eligible) {
        mService = service;
        mAvailable = available;
        mEligible = new ArrayList<>(eligible);
        int slots = 0;
        for (PlacementUpstream upstream : available) {
            slots += upstream.notice().slots();
            mSlotsInUse += upstream.primaryCount();
        }
        mSlots = slots;
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

    /** Returns the eligible upstreams that this request does not exclude. */
    List<PlacementUpstream> eligible(PlacementRequest request) {
        if (request.excluded().isEmpty()) {
            return mEligible;
        }
        return mEligible.stream()
                .filter(upstream -> !request.excluded().contains(upstream.notice().id()))
                .toList();
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

    /**
     * Records a placement.
     *
     * @param primary the upstream that answers
     * @param stillEligible whether its limit on starts allows further requests
     */
    void recordPlacement(PlacementUpstream primary, boolean stillEligible) {
        mSlotsInUse++;
        if (!stillEligible) {
            mEligible.remove(primary);
        }
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
