package dev.kumquatweir.policy.routing;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.oversize.EqualShares;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream for a request: among those that probably have its prefix and a few drawn at
 * random, the one with the least estimated time. Random draws, seeded differently for each
 * instance, keep instances that see the same report from all choosing the same upstream. Not
 * thread-safe: owned by the dispatch duty.
 */
public final class Router {
    private static final int AFFINITY_CANDIDATES = 3;
    private static final double JITTER = 0.05;

    /** Occupancy above which engines of the other lane are considered as well. */
    private static final double BUSY_OCCUPANCY = 0.6;

    private final Fleet mFleet;
    private final PrefixIndex mPrefixes;
    private final RoutingOptions mOptions;
    private final Capacity mCapacity;
    private final SplittableRandom mRandom;

    /** The best candidate of one decision so far. */
    private static final class Choice {
        private Pool.@Nullable Member mMember;
        private double mCost = Double.POSITIVE_INFINITY;
        private long mCached;
        private boolean mAvoidedDomain = true;
    }

    /** Makes a router over the upstreams of a fleet. */
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

    /** Returns where a request is to run now, null if no upstream can take it now. */
    public @Nullable Placement place(PlacementQuery query, long nowNanos) {
        Pool pool = mFleet.pool(query.service(), query.model(), nowNanos);
        if (pool.all().isEmpty()) {
            return null;
        }
        if (query.split() && query.memoryTokens() > pool.largestMemoryTokens()) {
            return spread(pool, query, nowNanos);
        }
        Choice choice = new Choice();
        List<Pool.Member> preferred = pool.preferred(query.length());
        considerHolders(choice, pool, query, nowNanos);
        draw(choice, preferred, query, nowNanos);
        if (choice.mMember == null || choice.mAvoidedDomain) {
            preferred.forEach(member -> consider(choice, member, query, nowNanos));
        }
        if (choice.mMember == null || busy(choice.mMember)) {
            borrow(choice, pool.borrowable(query.length()), query, nowNanos);
        }
        return choice.mMember == null ? null : placement(choice, choice.mMember, query, nowNanos);
    }

    private void considerHolders(Choice choice, Pool pool, PlacementQuery query, long nowNanos) {
        if (!mOptions.affinity() || query.prefixHashes().isEmpty()) {
            return;
        }
        List<UpstreamId> holders = mPrefixes.holders(query.prefixHashes());
        int first = holders.size() <= AFFINITY_CANDIDATES ? 0 : mRandom.nextInt(holders.size());
        for (int count = 0; count < Math.min(AFFINITY_CANDIDATES, holders.size()); count++) {
            UpstreamId holder = holders.get((first + count) % holders.size());
            Pool.Member member = pool.find(holder);
            if (member != null && mayUse(member, query)) {
                consider(choice, member, query, nowNanos);
            }
        }
    }

    private void draw(
            Choice choice, List<Pool.Member> members, PlacementQuery query, long nowNanos) {
        if (members.isEmpty()) {
            return;
        }
        for (int count = 0; count < mOptions.choices(); count++) {
            Pool.Member member = members.get(mRandom.nextInt(members.size()));
            consider(choice, member, query, nowNanos);
        }
    }

    private void borrow(
            Choice choice, List<Pool.Member> members, PlacementQuery query, long nowNanos) {
        List<Pool.Member> lent = members.size() <= mOptions.choices() ? members : sample(members);
        for (Pool.Member member : lent) {
            if (mayUse(member, query)) {
                consider(choice, member, query, nowNanos);
            }
        }
        if (choice.mMember == null) {
            for (Pool.Member member : members) {
                if (mayUse(member, query)) {
                    consider(choice, member, query, nowNanos);
                }
            }
        }
    }

    private List<Pool.Member> sample(List<Pool.Member> members) {
        List<Pool.Member> drawn = new ArrayList<>(mOptions.choices());
        for (int count = 0; count < mOptions.choices(); count++) {
            drawn.add(members.get(mRandom.nextInt(members.size())));
        }
        return drawn;
    }

    private boolean mayUse(Pool.Member member, PlacementQuery query) {
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

    private void consider(Choice choice, Pool.Member member, PlacementQuery query, long nowNanos) {
        UpstreamLoad load = member.load();
        boolean avoidedDomain =
                query.avoidedDomains().contains(load.state().announcement().domain());
        if ((avoidedDomain && !choice.mAvoidedDomain)
                || !mCapacity.open(member, query, nowNanos)
                || !mCapacity.fits(load, query.memoryTokens())) {
            return;
        }
        long cached = cachedTokens(load, query);
        double cost = mCapacity.costNanos(member, query, cached, nowNanos);
        double jittered = cost * (1 + JITTER * mRandom.nextDouble());
        if (jittered < choice.mCost || (choice.mAvoidedDomain && !avoidedDomain)) {
            choice.mMember = member;
            choice.mCost = jittered;
            choice.mCached = cached;
            choice.mAvoidedDomain = avoidedDomain;
        }
    }

    private Placement placement(
            Choice choice, Pool.Member member, PlacementQuery query, long nowNanos) {
        long waiting = mCapacity.waitingTokens(member, query, nowNanos);
        long tokens = waiting + query.prefillTokens() - choice.mCached;
        long nanos = (long) (tokens * member.load().rates().prefillNanos(query.length()));
        return new Placement(member.load(), List.of(), choice.mCached, waiting, nanos);
    }

    /**
     * Reserves the memory of several engines, all or nothing: either each part fits by this
     * instance's knowledge or nothing is placed and nothing is held meanwhile.
     */
    private @Nullable Placement spread(Pool pool, PlacementQuery query, long nowNanos) {
        List<Pool.Member> byFreeMemory =
                splitMembers(pool, query).stream()
                        .filter(member -> mCapacity.open(member, query, nowNanos))
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

    /** Engines of the lane for short prompts are used only if the others can't bear the prompt. */
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
