package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.oversize.EqualShares;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.routing.ColdAllowance;
import dev.kumquatweir.policy.routing.Hold;
import dev.kumquatweir.policy.routing.Placement;
import dev.kumquatweir.policy.routing.PlacementQuery;
import dev.kumquatweir.policy.routing.Router;
import dev.kumquatweir.policy.routing.UpstreamLoad;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Turns a waiting request into an attempt on an upstream and reserves what it needs there. Not
 * thread-safe: owned by the dispatch duty.
 */
final class Placer {
    /** Longest prompts, in tokens, of the steps by which the priority on an engine falls. */
    private static final long[] PRIORITY_STEPS_TOKENS = {2_048, 8_192, 65_536};

    private final Router mRouter;
    private final ColdAllowance mColdAllowance;
    private final String mAttemptPrefix;
    private long mAttempts;

    /**
     * Makes a placer.
     *
     * @param attemptPrefix start of each attempt id; differs for each instance and each start of it
     */
    Placer(Router router, ColdAllowance coldAllowance, String attemptPrefix) {
        mRouter = router;
        mColdAllowance = coldAllowance;
        mAttemptPrefix = attemptPrefix;
    }

    /** Places a request and makes the attempt its current one; returns null if none can take it. */
    @Nullable DispatchAction place(TrackedRequest tracked, long nowNanos) {
        Placement placement = mRouter.place(query(tracked), nowNanos);
        if (placement == null) {
            return null;
        }
        AttemptId id = new AttemptId(mAttemptPrefix + "." + ++mAttempts);
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
                priority(tracked),
                partners);
    }

    /** Gives back what an attempt reserved. */
    void release(RunningAttempt attempt, long nowNanos) {
        attempt.mPlacement.upstream().release(attempt.mId);
        attempt.mPlacement.partners().forEach(partner -> partner.release(attempt.mId));
        reportUse(attempt.mPlacement.upstream(), nowNanos);
    }

    private void reserve(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        Placement placement = attempt.mPlacement;
        long memory = tracked.prefillTokens() + tracked.remainingTokens();
        long share = EqualShares.share(memory, 1 + placement.partners().size());
        placement
                .upstream()
                .hold(
                        new Hold(
                                attempt.mId,
                                tracked.mLength,
                                attempt.mPrefillTokens,
                                share,
                                nowNanos));
        for (UpstreamLoad partner : placement.partners()) {
            partner.hold(new Hold(attempt.mId, tracked.mLength, 0, share, nowNanos));
        }
        reportUse(placement.upstream(), nowNanos);
    }

    /** Tells the allowance what this instance holds on an upstream, if that is cold. */
    void reportUse(UpstreamLoad load, long nowNanos) {
        if (load.cold()) {
            Announcement announcement = load.state().announcement();
            mColdAllowance.using(
                    announcement.id(),
                    announcement.incarnation(),
                    new ColdLimit(load.holds().size(), load.ownBacklogTokens()),
                    new ColdLimit(0, 0),
                    nowNanos);
        }
    }

    private static PlacementQuery query(TrackedRequest tracked) {
        WorkRequest request = tracked.mRequest;
        return new PlacementQuery(
                request.profile().service(),
                request.model(),
                tracked.mLength,
                tracked.prefillTokens(),
                tracked.remainingTokens(),
                Math.max(1, tracked.mExpectedOutput - tracked.mCallerTokens),
                request.prefixHashes(),
                request.profile().oversize() == OversizePolicy.SPLIT,
                tracked.mAvoidedUpstreams,
                tracked.mAvoidedDomains);
    }

    /** Returns the priority on the engine: shorter prompts first within an urgency. */
    private static int priority(TrackedRequest tracked) {
        int lower = 0;
        for (long step : PRIORITY_STEPS_TOKENS) {
            lower += tracked.mRequest.promptTokens() > step ? 1 : 0;
        }
        return Math.clamp(tracked.mRequest.profile().priority() - lower, 0, 9);
    }
}
