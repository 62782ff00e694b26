package dev.kumquatweir.policy.sharing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/**
 * Shares the upstreams of one service among teams while requests wait for lack of room. Ranks are
 * served in strict order, the lowest first; within a rank teams have max-min fair shares of the
 * work. Not thread-safe.
 *
 * <p>Handles a team that sends many times its usual load, and callers that repeat rejected requests
 * many times: both use the share of their own team only.
 */
public final class ServiceSharing {
    /**
     * Time after the last request that found no room from which on the service counts as not
     * overloaded. Longer than the pauses between two groups of ends on busy engines.
     */
    private static final long OVERLOAD_END_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Share of the estimated wait that counts. The estimate is high, as some of the requests ahead
     * are withdrawn or rejected before they are placed.
     */
    private static final double WAIT_CONFIDENCE = 0.5;

    /** Share of a team's turns that returning requests get, see {@link TeamQueue}. */
    private static final double RETURN_SHARE = 0.2;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<Integer, TeamAccounts> mRanks = new TreeMap<>();
    private final Map<String, Long> mLastReturnNanos = new HashMap<>();
    private final ToDoubleFunction<String> mWeight;
    private final WorkRate mRate = new WorkRate();
    private boolean mOverloaded;
    private long mShortageNanos;

    /**
     * Creates the accounts of a service that is not overloaded.
     *
     * @param weight function that returns the weight of a team, above 0
     */
    public ServiceSharing(ToDoubleFunction<String> weight) {
        mWeight = weight;
    }

    /** Records that a request found no room. */
    public void recordShortage(long nowNanos) {
        if (!overloaded(nowNanos)) {
            mOverloaded = true;
            mRate.restart(nowNanos);
            mLastReturnNanos.clear();
        }
        mShortageNanos = nowNanos;
    }

    /** Returns whether requests wait for lack of room. */
    public boolean overloaded(long nowNanos) {
        return mOverloaded && nowNanos - mShortageNanos <= OVERLOAD_END_NANOS;
    }

    /**
     * Returns the waiting requests in the order in which they are served.
     *
     * @param entries all waiting requests of the service
     * @param rank function that returns the rank of a request, 0 being the first
     */
    public <T> List<ShareTurn<T>> order(List<ShareEntry<T>> entries, ToIntFunction<T> rank) {
        Map<Integer, List<ShareEntry<T>>> byRank = new TreeMap<>();
        mRanks.keySet().forEach(known -> byRank.put(known, new ArrayList<>()));
        for (ShareEntry<T> entry : entries) {
            byRank.computeIfAbsent(rank.applyAsInt(entry.item()), key -> new ArrayList<>())
                    .add(entry);
        }
        List<ShareTurn<T>> ordered = new ArrayList<>(entries.size());
        double ahead = 0;
        int lateAhead = 0;
        for (Map.Entry<Integer, List<ShareEntry<T>>> level : byRank.entrySet()) {
            for (ShareTurn<T> turn : accounts(level.getKey()).order(level.getValue())) {
                ordered.add(
                        new ShareTurn<>(
                                turn.item(),
                                turn.startTag(),
                                ahead + turn.workAhead(),
                                lateAhead + turn.lateAhead()));
            }
            ahead += level.getValue().stream().mapToDouble(ShareEntry::work).sum();
            lateAhead += (int) level.getValue().stream().filter(ShareEntry::late).count();
        }
        return ordered;
    }

    /** Returns the least time until the given work is placed, 0 if it is not known. */
    public long waitNanos(double workAhead, long nowNanos) {
        double perSecond = mRate.perSecond(nowNanos).orElse(0);
        return perSecond <= 0
                ? 0
                : (long) (WAIT_CONFIDENCE * workAhead / perSecond * NANOS_PER_SECOND);
    }

    /** Records that a request was placed. */
    public void recordPlacement(String team, int rank, double work, long nowNanos) {
        accounts(rank).charge(team, work);
        mRate.record(work, nowNanos);
    }

    /** Records a running request that another scheduler placed. */
    public void registerRunning(String team, int rank, double work) {
        accounts(rank).registerRunning(team, work);
    }

    /**
     * Returns the time after which the caller of a rejected request should return: when the part of
     * the team's share for returning requests has served those that were told to return before.
     * Empty if the rate of the service is not known.
     *
     * @param maximumNanos longest time
     */
    public OptionalLong returnNanos(
            String team, int rank, double work, long maximumNanos, long nowNanos) {
        double perSecond = mRate.perSecond(nowNanos).orElse(0);
        if (!overloaded(nowNanos) || perSecond <= 0) {
            return OptionalLong.empty();
        }
        double teamPerSecond = RETURN_SHARE * perSecond * accounts(rank).share(team);
        long last = Math.max(nowNanos, mLastReturnNanos.getOrDefault(team, nowNanos));
        double stepNanos = work / teamPerSecond * NANOS_PER_SECOND;
        long returnNanos = (long) Math.min(last - nowNanos + stepNanos, (double) maximumNanos);
        mLastReturnNanos.put(team, nowNanos + returnNanos);
        return OptionalLong.of(returnNanos);
    }

    private TeamAccounts accounts(int rank) {
        return mRanks.computeIfAbsent(rank, key -> new TeamAccounts(mWeight));
    }
}
