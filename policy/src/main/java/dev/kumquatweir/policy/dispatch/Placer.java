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
 * Turns a waiting request into an attempt on an upstream and reserves what it needs there. Not
 * thread-safe: owned by the dispatch duty.
 */
final class Placer {
    /** Most tokens of the steps by which the priority on an engine falls. */
    private static final long[] PRIORITY_STEPS_TOKENS = {512, 1_024, 2_048, 8_192, 65_536};

    /** Steps above the priority of the profile at which the smallest prefill starts. */
    private static final int PRIORITY_RISE = 2;

    private final Router mRouter;
    private final ColdAllowance mColdAllowance;
    private final AttemptIds mAttemptIds;

    /**
     * Makes a placer.
     *
     * @param attemptIds makes the ids of the attempts
     */
    Placer(Router router, ColdAllowance coldAllowance, AttemptIds attemptIds) {
        mRouter = router;
        mColdAllowance = coldAllowance;
        mAttemptIds = attemptIds;
    }

    /**
     * Places a request and makes the attempt its current one; returns null if none can take it.
     *
     * @param closed upstreams that may not take it, besides those that it avoids itself
     */
    @Nullable DispatchAction place(TrackedRequest tracked, Set<UpstreamId> closed, long nowNanos) {
        Placement placement = mRouter.place(query(tracked, closed), nowNanos);
        if (placement == null) {
            return null;
        }
        AttemptId id = mAttemptIds.next();
        long prefill = Math.max(0, tracked.prefillTokens() - placement.cachedTokens());
        RunningAttempt attempt =
                new RunningAttempt(id, placement, tracked.mCallerTokens, prefill, nowNanos);
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
                tracked.mCallerTokens,
                priority(tracked, prefill),
                partners);
    }

    /** Gives back what an attempt reserved. */
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

    /** Tells the allowance what this instance holds on an upstream, if that is cold. */
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
                Math.max(1, tracked.mExpectedOutput - tracked.mCallerTokens),
                request.prefixHashes(),
                request.profile().oversize() == OversizePolicy.SPLIT,
                avoided,
                tracked.mAvoidedDomains);
    }

    /**
     * Returns the priority on the engine: less work first within an urgency. A short prompt counts
     * by what the engine has to prefill, since a chunk of a cached prompt delays others by a chunk
     * only. A long one counts by its length, because the hint of its cache is less certain.
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
        return Math.clamp(tracked.mRequest.profile().priority() + PRIORITY_RISE - lower, 0, 9);
    }
}
