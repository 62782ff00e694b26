package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.oversize.EqualShares;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.routing.AttemptReservation;
import dev.kumquatweir.policy.routing.ColdAllowance;
import dev.kumquatweir.policy.routing.LengthClass;
import dev.kumquatweir.policy.routing.Placement;
import dev.kumquatweir.policy.routing.PlacementQuery;
import dev.kumquatweir.policy.routing.Router;
import dev.kumquatweir.policy.routing.UpstreamLoad;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Places a queued request on an upstream, creates the attempt and reserves its resources. Not
 * thread-safe: owned by the dispatch duty.
 */
final class Placer {
    /** Token counts above each of which the engine priority drops by one. */
    private static final long[] PRIORITY_STEPS_TOKENS = {512, 1_024, 2_048, 8_192, 65_536};

    /** Amount by which the priority of the smallest prefill exceeds that of its profile. */
    private static final int PRIORITY_BOOST = 2;

    private final Router mRouter;
    private final ColdAllowance mColdAllowance;
    private final AttemptIds mAttemptIds;

    /**
     * Creates a placer.
     *
     * @param attemptIds generates the attempt ids
     */
    Placer(Router router, ColdAllowance coldAllowance, AttemptIds attemptIds) {
        mRouter = router;
        mColdAllowance = coldAllowance;
        mAttemptIds = attemptIds;
    }

    /**
     * Places a request and sets its current attempt; returns null if no upstream can take it.
     *
     * @param closed upstreams that may not take the request, in addition to those that it avoids
     */
    @Nullable DispatchAction place(TrackedRequest tracked, Set<UpstreamId> closed, long nowNanos) {
        Placement placement = mRouter.place(query(tracked, closed), nowNanos);
        if (placement == null) {
            return null;
        }
        AttemptId id = mAttemptIds.next();
        long prefill = Math.max(0, tracked.prefillTokens() - placement.cachedTokens());
        RunningAttempt attempt =
                new RunningAttempt(id, placement, tracked.mDeliveredTokens, prefill, nowNanos);
        tracked.mCurrent = attempt;
        reserve(tracked, attempt, nowNanos);
        List<UpstreamId> partners =
                placement.partners().stream()
                        .map(load -> load.state().announcement().id())
                        .toList();
        Announcement target = placement.upstream().state().announcement();
        return new DispatchAction.Start(
                tracked.mRequest.id(),
                id,
                target.id(),
                target.incarnation(),
                tracked.mDeliveredTokens,
                priority(tracked, prefill),
                partners);
    }

    /** Releases the resources that an attempt reserved. */
    void release(RunningAttempt attempt, long nowNanos) {
        attempt.mPlacement.upstream().releaseReservation(attempt.mId);
        attempt.mPlacement.partners().forEach(partner -> partner.releaseReservation(attempt.mId));
        reportUse(attempt.mPlacement.upstream(), nowNanos);
    }

    private void reserve(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        Placement placement = attempt.mPlacement;
        long memory = tracked.prefillTokens() + tracked.remainingTokens();
        long share = EqualShares.shareTokens(memory, 1 + placement.partners().size());
        placement
                .upstream()
                .addReservation(
                        new AttemptReservation(
                                attempt.mId,
                                tracked.mLength,
                                attempt.mPrefillTokens,
                                share,
                                nowNanos));
        for (UpstreamLoad partner : placement.partners()) {
            partner.addReservation(
                    new AttemptReservation(attempt.mId, tracked.mLength, 0, share, nowNanos));
        }
        reportUse(placement.upstream(), nowNanos);
    }

    /** Reports to the cold allowance how much of a cold upstream this instance uses. */
    void reportUse(UpstreamLoad load, long nowNanos) {
        if (load.cold()) {
            Announcement announcement = load.state().announcement();
            mColdAllowance.reportUse(
                    announcement.id(),
                    announcement.incarnation(),
                    new ColdLimit(load.reservations().size(), load.ownBacklogTokens()),
                    new ColdLimit(0, 0),
                    nowNanos);
        }
    }

    private static PlacementQuery query(TrackedRequest tracked, Set<UpstreamId> closed) {
        WorkRequest request = tracked.mRequest;
        Set<UpstreamId> avoided = tracked.mAvoidedUpstreams;
        if (!closed.isEmpty()) {
            avoided = new HashSet<>(avoided);
            avoided.addAll(closed);
        }
        return new PlacementQuery(
                request.profile().service(),
                request.model(),
                tracked.mLength,
                tracked.prefillTokens(),
                tracked.remainingTokens(),
                Math.max(1, tracked.mExpectedOutputTokens - tracked.mDeliveredTokens),
                request.prefixHashes(),
                request.profile().oversize() == OversizePolicy.SPLIT,
                avoided,
                tracked.mAvoidedDomains);
    }

    /**
     * Returns the priority on the engine. Within a profile priority, less work comes first. A short
     * prompt counts by its uncached tokens, since only these occupy prefill chunks. A long prompt
     * counts by its full length, because the estimate of its cached tokens is less reliable.
     */
    private static int priority(TrackedRequest tracked, long prefillTokens) {
        long tokens =
                tracked.mLength == LengthClass.SHORT
                        ? prefillTokens
                        : tracked.mRequest.promptTokens();
        int lower = 0;
        for (long step : PRIORITY_STEPS_TOKENS) {
            lower += tokens > step ? 1 : 0;
        }
        return Math.clamp(tracked.mRequest.profile().priority() + PRIORITY_BOOST - lower, 0, 9);
    }
}
