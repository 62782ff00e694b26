package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether an upstream has capacity for another request, and estimates the cost of placing
 * it there. Not thread-safe: owned by the dispatch duty.
 */
final class Capacity {
    /**
     * Longest time that short prompts may queue in an engine. Further work waits in the instance,
     * where more urgent requests and other teams can still overtake it.
     */
    private static final long SHORT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /**
     * Longest time that long prompts may queue in an engine, enough to keep it from idling between
     * two of them.
     */
    private static final long LONG_WAIT_NANOS = TimeUnit.SECONDS.toNanos(8);

    /**
     * Longest time that medium prompts, which overtake the longest ones, may queue in an engine. An
     * instance knows only its own share of their backlog. With 8 s, four instances queued half a
     * minute of such prompts per engine, and the memory reserved for them left none for short
     * prompts under overload.
     */
    private static final long MEDIUM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Calls that a plain service may have running or queued, per call that it can run at once. */
    private static final int SERVICE_QUEUE_FACTOR = 2;

    /** Longest prompt that engines process with priority over long ones. */
    private static final long MEDIUM_PROMPT_TOKENS = 65_536;

    /** Relative slowdown of decoding on an engine with all slots in use. */
    private static final double OCCUPANCY_WEIGHT = 0.5;

    private final ColdAllowance mColdAllowance;
    private final FailureDomain mOwnDomain;
    private final long mCrossDomainNanos;

    Capacity(ColdAllowance coldAllowance, RoutingOptions options) {
        mColdAllowance = coldAllowance;
        mOwnDomain = options.ownDomain();
        mCrossDomainNanos = options.crossDomainNanos();
    }

    /** Returns whether the upstream may take the request now, apart from its memory. */
    boolean hasCapacity(Pool.Member member, PlacementQuery query, long nowNanos) {
        UpstreamLoad load = member.load();
        Announcement announcement = load.state().announcement();
        if (!load.usable(nowNanos)
                || query.avoidedUpstreams().contains(announcement.id())
                || load.reservations().size() >= load.rampLimit()) {
            return false;
        }
        if (load.cold() && !hasColdCapacity(load, query.prefillTokens(), nowNanos)) {
            return false;
        }
        if (announcement.kind() == UpstreamKind.SERVICE) {
            return load.running() < announcement.maximumRunning() * SERVICE_QUEUE_FACTOR;
        }
        return load.running() < announcement.maximumRunning()
                && waitNanos(member, query, nowNanos) <= maximumWaitNanos(query);
    }

    /**
     * Returns whether the engine has enough free memory, by its last report and this instance's
     * reservations. Always true for a plain service.
     */
    boolean fits(UpstreamLoad load, long memoryTokens) {
        Announcement announcement = load.state().announcement();
        return announcement.kind() == UpstreamKind.SERVICE || load.fits(memoryTokens);
    }

    /**
     * Returns the estimated time until the answer is complete, in nanoseconds, without the parts
     * that are equal for all upstreams.
     */
    double costNanos(Pool.Member member, PlacementQuery query, long cached, long nowNanos) {
        UpstreamLoad load = member.load();
        Announcement announcement = load.state().announcement();
        double crossDomainNanos = announcement.domain().equals(mOwnDomain) ? 0 : mCrossDomainNanos;
        if (announcement.kind() == UpstreamKind.SERVICE) {
            double queuedPerSlot =
                    (double) load.running() / Math.max(1, announcement.maximumRunning());
            return crossDomainNanos + (1 + queuedPerSlot) * load.rates().callNanos();
        }
        double prefill =
                (query.prefillTokens() - cached) * load.rates().prefillNanos(query.length());
        double decode = query.expectedOutputTokens() * load.rates().interTokenNanos();
        double occupancy = (double) load.running() / Math.max(1, announcement.maximumRunning());
        return crossDomainNanos
                + waitNanos(member, query, nowNanos)
                + prefill
                + decode * (1 + occupancy * OCCUPANCY_WEIGHT);
    }

    /**
     * Returns the estimated number of prompt tokens that the engine processes before those of the
     * request.
     */
    long waitingTokens(Pool.Member member, PlacementQuery query, long nowNanos) {
        UpstreamLoad load = member.load();
        boolean overtakes =
                query.length() == LengthClass.SHORT
                        ? member.lane() != LengthStrategy.Lane.SHORT
                        : query.prefillTokens() <= MEDIUM_PROMPT_TOKENS;
        // The load report does not separate the backlog that this request would overtake from the
        // rest.
        return overtakes
                ? load.ownBacklogTokens(
                        query.length() == LengthClass.SHORT
                                ? LengthClass.SHORT_PROMPT_TOKENS
                                : MEDIUM_PROMPT_TOKENS)
                : load.backlogTokens(nowNanos);
    }

    private double waitNanos(Pool.Member member, PlacementQuery query, long nowNanos) {
        return waitingTokens(member, query, nowNanos)
                * member.load().rates().prefillNanos(query.length());
    }

    private boolean hasColdCapacity(UpstreamLoad load, long prefillTokens, long nowNanos) {
        Announcement announcement = load.state().announcement();
        ColdLimit limit = announcement.coldLimit();
        ColdLimit granted =
                mColdAllowance.granted(
                        announcement.id(), announcement.incarnation(), limit, nowNanos);
        long pendingTokens = load.ownBacklogTokens();
        boolean withinGrant =
                load.reservations().size() < granted.requests()
                        && pendingTokens + prefillTokens <= granted.prefillTokens();
        if (!withinGrant) {
            mColdAllowance.reportUse(
                    announcement.id(),
                    announcement.incarnation(),
                    new ColdLimit(load.reservations().size(), pendingTokens),
                    new ColdLimit(1, prefillTokens),
                    nowNanos);
        }
        return withinGrant;
    }

    private static long maximumWaitNanos(PlacementQuery query) {
        if (query.length() == LengthClass.SHORT) {
            return SHORT_WAIT_NANOS;
        }
        return query.prefillTokens() <= MEDIUM_PROMPT_TOKENS ? MEDIUM_WAIT_NANOS : LONG_WAIT_NANOS;
    }
}
