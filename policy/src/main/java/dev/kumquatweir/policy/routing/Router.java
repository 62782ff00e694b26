package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.oversize.EqualShares;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream for a request: the one with the lowest estimated time among those that
 * probably have its prefix cached and a few random candidates. The random choices are seeded
 * differently for each instance, which keeps instances with the same load report from all choosing
 * the same upstream. Not thread-safe: owned by the dispatch duty.
 */
public final class Router {
    private static final int AFFINITY_CANDIDATES = 3;
    private static final double COST_JITTER = 0.05;

    /** Occupancy above which engines of the other lane are considered too. */
    private static final double BUSY_OCCUPANCY = 0.6;

    private final Fleet mFleet;
    private final PrefixIndex mPrefixes;
    private final RoutingOptions mOptions;
    private final Capacity mCapacity;
    private final SplittableRandom mRandom;

    /** The best candidate found so far for one request. */
    private static final class BestCandidate {
        private Pool.@Nullable Member mMember;
        private double mCost = Double.POSITIVE_INFINITY;
        private long mCached;
        private boolean mAvoidedDomain = true;
    }

    /** Creates a router over the upstreams of a fleet. */
    public Router(
            Fleet fleet,
            PrefixIndex prefixes,
            ColdAllowance coldAllowance,
            RoutingOptions options) {
        mFleet = fleet;
        mPrefixes = prefixes;
        mOptions = options;
        mCapacity = new Capacity(coldAllowance, options);
        mRandom = new SplittableRandom(options.seed());
    }

    /** Returns the upstreams for a request, or null if none has capacity now. */
    public @Nullable Placement place(PlacementQuery query, long nowNanos) {
        Pool pool = mFleet.pool(query.service(), query.model(), nowNanos);
        if (pool.all().isEmpty()) {
            return null;
        }
        if (query.split() && query.memoryTokens() > pool.largestMemoryTokens()) {
            return placeSplit(pool, query, nowNanos);
        }
        BestCandidate choice = new BestCandidate();
        List<Pool.Member> preferred = pool.preferred(query.length());
        considerHolders(choice, pool, query, nowNanos);
        considerRandom(choice, preferred, query, nowNanos);
        if (choice.mMember == null || choice.mAvoidedDomain) {
            preferred.forEach(member -> consider(choice, member, query, nowNanos));
        }
        if (choice.mMember == null || busy(choice.mMember)) {
            considerBorrowed(choice, pool.borrowable(query.length()), query, nowNanos);
        }
        return choice.mMember == null ? null : placement(choice, choice.mMember, query, nowNanos);
    }

    private void considerHolders(
            BestCandidate choice, Pool pool, PlacementQuery query, long nowNanos) {
        if (!mOptions.affinity() || query.prefixHashes().isEmpty()) {
            return;
        }
        List<UpstreamId> holders = mPrefixes.holders(query.prefixHashes());
        int first = holders.size() <= AFFINITY_CANDIDATES ? 0 : mRandom.nextInt(holders.size());
        for (int count = 0; count < Math.min(AFFINITY_CANDIDATES, holders.size()); count++) {
            UpstreamId holder = holders.get((first + count) % holders.size());
            Pool.Member member = pool.find(holder);
            if (member != null && mayUseLane(member, query)) {
                consider(choice, member, query, nowNanos);
            }
        }
    }

    private void considerRandom(
            BestCandidate choice, List<Pool.Member> members, PlacementQuery query, long nowNanos) {
        if (members.isEmpty()) {
            return;
        }
        for (int count = 0; count < mOptions.choices(); count++) {
            Pool.Member member = members.get(mRandom.nextInt(members.size()));
            consider(choice, member, query, nowNanos);
        }
    }

    private void considerBorrowed(
            BestCandidate choice, List<Pool.Member> members, PlacementQuery query, long nowNanos) {
        List<Pool.Member> candidates =
                members.size() <= mOptions.choices() ? members : sample(members);
        for (Pool.Member member : candidates) {
            if (mayUseLane(member, query)) {
                consider(choice, member, query, nowNanos);
            }
        }
        if (choice.mMember == null) {
            for (Pool.Member member : members) {
                if (mayUseLane(member, query)) {
                    consider(choice, member, query, nowNanos);
                }
            }
        }
    }

    private List<Pool.Member> sample(List<Pool.Member> members) {
        List<Pool.Member> sampled = new ArrayList<>(mOptions.choices());
        for (int count = 0; count < mOptions.choices(); count++) {
            sampled.add(members.get(mRandom.nextInt(members.size())));
        }
        return sampled;
    }

    private boolean mayUseLane(Pool.Member member, PlacementQuery query) {
        return switch (member.lane()) {
            case MIXED -> true;
            case SHORT ->
                    query.length() == LengthClass.SHORT
                            || mOptions.strategy()
                                    .mayBorrow(
                                            LengthClass.LONG,
                                            query.prefillTokens(),
                                            occupancy(member));
            case LONG ->
                    query.length() == LengthClass.LONG
                            || mOptions.strategy()
                                    .mayBorrow(
                                            LengthClass.SHORT,
                                            query.prefillTokens(),
                                            occupancy(member));
        };
    }

    private void consider(
            BestCandidate choice, Pool.Member member, PlacementQuery query, long nowNanos) {
        UpstreamLoad load = member.load();
        boolean avoidedDomain =
                query.avoidedDomains().contains(load.state().announcement().domain());
        if ((avoidedDomain && !choice.mAvoidedDomain)
                || !mCapacity.hasCapacity(member, query, nowNanos)
                || !mCapacity.fits(load, query.memoryTokens())) {
            return;
        }
        long cached = cachedTokens(load, query);
        double cost = mCapacity.costNanos(member, query, cached, nowNanos);
        double jittered = cost * (1 + COST_JITTER * mRandom.nextDouble());
        if (jittered < choice.mCost || (choice.mAvoidedDomain && !avoidedDomain)) {
            choice.mMember = member;
            choice.mCost = jittered;
            choice.mCached = cached;
            choice.mAvoidedDomain = avoidedDomain;
        }
    }

    private Placement placement(
            BestCandidate choice, Pool.Member member, PlacementQuery query, long nowNanos) {
        long waiting = mCapacity.waitingTokens(member, query, nowNanos);
        long tokens = waiting + query.prefillTokens() - choice.mCached;
        long nanos = (long) (tokens * member.load().rates().prefillNanos(query.length()));
        return new Placement(member.load(), List.of(), choice.mCached, waiting, nanos);
    }

    /**
     * Splits a request over several engines, all or nothing: returns a placement only if each part
     * fits, as far as this instance knows, and reserves no memory otherwise.
     */
    private @Nullable Placement placeSplit(Pool pool, PlacementQuery query, long nowNanos) {
        List<Pool.Member> byFreeMemory =
                splitMembers(pool, query).stream()
                        .filter(member -> mCapacity.hasCapacity(member, query, nowNanos))
                        .filter(member -> !member.load().cold())
                        .sorted(Comparator.comparingLong(Router::usedMemory))
                        .limit(EqualShares.MAXIMUM_PARTS)
                        .toList();
        for (int parts = 2; parts <= byFreeMemory.size(); parts++) {
            long share = EqualShares.shareTokens(query.memoryTokens(), parts);
            if (!EqualShares.fitsAnswer(share, query.outputTokens(), parts)) {
                return null;
            }
            List<UpstreamLoad> engines =
                    byFreeMemory.subList(0, parts).stream().map(Pool.Member::load).toList();
            if (engines.stream().allMatch(load -> mCapacity.fits(load, share))) {
                Pool.Member first = byFreeMemory.getFirst();
                long waiting = mCapacity.waitingTokens(first, query, nowNanos);
                double nanos =
                        (waiting + query.prefillTokens())
                                * first.load().rates().prefillNanos(query.length());
                return new Placement(
                        first.load(), engines.subList(1, parts), 0, waiting, (long) nanos);
            }
        }
        return null;
    }

    /**
     * Returns the engines for a split prompt. Engines of the lane for short prompts are included
     * only if the others lack the memory.
     */
    private static List<Pool.Member> splitMembers(Pool pool, PlacementQuery query) {
        List<Pool.Member> preferred = pool.preferred(LengthClass.LONG);
        boolean enough =
                EqualShares.canHold(
                        Pool.memories(preferred), query.memoryTokens(), query.outputTokens());
        return enough ? preferred : pool.all();
    }

    private long cachedTokens(UpstreamLoad load, PlacementQuery query) {
        if (!mOptions.affinity() || query.prefixHashes().isEmpty()) {
            return 0;
        }
        UpstreamId id = load.state().announcement().id();
        long blocks = mPrefixes.cachedBlocks(id, query.prefixHashes());
        return Math.min(blocks * PrefixIndex.BLOCK_TOKENS, query.prefillTokens());
    }

    private static boolean busy(Pool.Member member) {
        return occupancy(member) > BUSY_OCCUPANCY;
    }

    private static double occupancy(Pool.Member member) {
        UpstreamLoad load = member.load();
        return (double) load.running() / Math.max(1, load.state().announcement().maximumRunning());
    }

    private static long usedMemory(Pool.Member member) {
        return member.load().memoryUsedTokens();
    }
}
