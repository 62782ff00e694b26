package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import java.util.concurrent.TimeUnit;

/**
 * Whether an upstream can take one more request now, and what that would cost. Not thread-safe:
 * owned by the dispatch duty.
 */
final class Capacity {
    /**
     * Time that short prompts may wait in an engine. Work beyond it waits in the instance, where a
     * more urgent request or another team can still overtake it.
     */
    private static final long SHORT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Time that long prompts may wait in an engine, so that it never idles between two. */
    private static final long LONG_WAIT_NANOS = TimeUnit.SECONDS.toNanos(8);

    /**
     * The same for prompts that overtake the longest ones. Only the share of this instance in their
     * backlog is known; at 8 s, four instances filled engines with half a minute of them, whose
     * reserved memory kept short prompts out under overload.
     */
    private static final long MEDIUM_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Calls that a plain service may have waiting for each one that it runs. */
    private static final int SERVICE_QUEUE_FACTOR = 2;

    /** Longest prompt that engines process before the long ones. */
    private static final long MEDIUM_PROMPT_TOKENS = 65_536;

    /** Slowdown of decoding on an engine whose running slots are all in use. */
    private static final double OCCUPANCY_WEIGHT = 0.5;

    private final ColdAllowance mColdAllowance;
    private final FailureDomain mOwnDomain;
    private final long mCrossDomainNanos;

    Capacity(ColdAllowance coldAllowance, RoutingOptions options) {
        mColdAllowance = coldAllowance;
        mOwnDomain = options.ownDomain();
        mCrossDomainNanos = options.crossDomainNanos();
    }

    /** Returns whether the upstream may take the request now, memory apart. */
    boolean open(Pool.Member member, PlacementQuery query, long nowNanos) {
        UpstreamLoad load = member.load();
        Announcement announcement = load.state().announcement();
        if (!load.usable(nowNanos)
                || query.avoidedUpstreams().contains(announcement.id())
                || load.reservations().size() >= load.rampLimit()) {
            return false;
        }
        if (load.cold() && !coldOpen(load, query.prefillTokens(), nowNanos)) {
            return false;
        }
        if (announcement.kind() == UpstreamKind.SERVICE) {
            return load.running() < announcement.maximumRunning() * SERVICE_QUEUE_FACTOR;
        }
        return load.running() < announcement.maximumRunning()
                && waitNanos(member, query, nowNanos) <= bound(query);
    }

    /** Returns whether the engine has the memory, by its report and own reservations. */
    boolean fits(UpstreamLoad load, long memoryTokens) {
        Announcement announcement = load.state().announcement();
        return announcement.kind() == UpstreamKind.SERVICE || load.fits(memoryTokens);
    }

    /** Returns the estimated time until the whole answer, apart from what all have in common. */
    double costNanos(Pool.Member member, PlacementQuery query, long cached, long nowNanos) {
        UpstreamLoad load = member.load();
        Announcement announcement = load.state().announcement();
        double distance = announcement.domain().equals(mOwnDomain) ? 0 : mCrossDomainNanos;
        if (announcement.kind() == UpstreamKind.SERVICE) {
            double turns = (double) load.running() / Math.max(1, announcement.maximumRunning());
            return distance + (1 + turns) * load.rates().callNanos();
        }
        double prefill =
                (query.prefillTokens() - cached) * load.rates().prefillNanos(query.length());
        double decode = query.expectedOutputTokens() * load.rates().interTokenNanos();
        double occupancy = (double) load.running() / Math.max(1, announcement.maximumRunning());
        return distance
                + waitNanos(member, query, nowNanos)
                + prefill
                + decode * (1 + occupancy * OCCUPANCY_WEIGHT);
    }

    /** Returns the tokens that the engine is likely to process before those of the request. */
    long waitingTokens(Pool.Member member, PlacementQuery query, long nowNanos) {
        UpstreamLoad load = member.load();
        boolean overtakes =
                query.length() == LengthClass.SHORT
                        ? member.lane() != LengthStrategy.Lane.SHORT
                        : query.prefillTokens() <= MEDIUM_PROMPT_TOKENS;
        // The report does not tell the backlog that the engine puts behind from the other one.
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

    private boolean coldOpen(UpstreamLoad load, long prefillTokens, long nowNanos) {
        Announcement announcement = load.state().announcement();
        ColdLimit limit = announcement.coldLimit();
        ColdLimit granted =
                mColdAllowance.granted(
                        announcement.id(), announcement.incarnation(), limit, nowNanos);
        long pending = load.ownBacklogTokens();
        boolean open =
                load.reservations().size() < granted.requests()
                        && pending + prefillTokens <= granted.prefillTokens();
        if (!open) {
            mColdAllowance.reportUse(
                    announcement.id(),
                    announcement.incarnation(),
                    new ColdLimit(load.reservations().size(), pending),
                    new ColdLimit(1, prefillTokens),
                    nowNanos);
        }
        return open;
    }

    private static long bound(PlacementQuery query) {
        if (query.length() == LengthClass.SHORT) {
            return SHORT_WAIT_NANOS;
        }
        return query.prefillTokens() <= MEDIUM_PROMPT_TOKENS ? MEDIUM_WAIT_NANOS : LONG_WAIT_NANOS;
    }
}
