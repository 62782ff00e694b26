package dev.kumquatweir.policy.fairness;

import dev.kumquatweir.core.identity.TeamName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Queue of waiting requests in strict order of urgency and, within an urgency, by deficit round
 * robin over the teams: each team is served tokens in proportion to its weight, whatever the size
 * of its requests. Not thread-safe: owned by the dispatch duty.
 *
 * @param <T> type of the queued requests
 */
public final class FairQueue<T extends QueuedWork> {
    /** Deficit that a team of weight 1 gains in each round, in tokens. */
    static final long QUANTUM_TOKENS = 1_024;

    private final ToIntFunction<TeamName> mWeight;
    private final boolean mShortestFirst;
    private final TreeMap<Integer, Level<T>> mLevels = new TreeMap<>(Collections.reverseOrder());
    private int mSize;

    /**
     * Creates an empty queue.
     *
     * @param weight function that returns the weight of a team
     * @param shortestFirst whether a team's request with the lowest cost is served first, else its
     *     oldest
     */
    public FairQueue(ToIntFunction<TeamName> weight, boolean shortestFirst) {
        mWeight = weight;
        mShortestFirst = shortestFirst;
    }

    /**
     * Adds work at the end of the queue of its team or, with shortest first, behind the work of its
     * team that does not cost more.
     */
    public void add(T work) {
        Deque<T> queue = lane(work).mWork;
        Deque<T> costlier = new ArrayDeque<>();
        while (mShortestFirst && !queue.isEmpty() && queue.getLast().tokens() > work.tokens()) {
            costlier.addFirst(queue.removeLast());
        }
        queue.addLast(work);
        queue.addAll(costlier);
        added(work);
    }

    /**
     * Adds work at the head of the queue of its team.
     *
     * @param work the work
     * @param refund whether the team is refunded the tokens charged, since the work did not run
     */
    public void addFirst(T work, boolean refund) {
        TeamLane<T> lane = lane(work);
        lane.mWork.addFirst(work);
        lane.mDeficitTokens += refund ? work.tokens() : 0;
        added(work);
    }

    /**
     * Returns the work to be served next without removing it, or null if none is allowed. A team
     * whose first work is not allowed is skipped.
     */
    public @Nullable T next(Predicate<? super T> allowed) {
        for (Level<T> level : mLevels.values()) {
            T work = level.next(allowed);
            if (work != null) {
                return work;
            }
        }
        return null;
    }

    /** Removes work that {@link #next} returned and charges its team. */
    public void take(T work) {
        Level<T> level = mLevels.get(work.urgency());
        if (level != null) {
            level.charge(work);
            remove(work);
        }
    }

    /**
     * Removes work without charging its team, for example because it was cancelled.
     *
     * @return false if it was not queued
     */
    public boolean remove(T work) {
        Level<T> level = mLevels.get(work.urgency());
        if (level == null || !level.remove(work)) {
            return false;
        }
        mSize--;
        if (level.mTeams.isEmpty()) {
            mLevels.remove(work.urgency());
        }
        return true;
    }

    /**
     * Returns the work to shed in favour of work of the given urgency: the newest of the team with
     * the most waiting requests at the lowest urgency below the given one. Returns null if none may
     * be shed.
     */
    public @Nullable T shedBelow(int urgency) {
        for (Map.Entry<Integer, Level<T>> entry : mLevels.descendingMap().entrySet()) {
            if (entry.getKey() >= urgency) {
                return null;
            }
            T victim = entry.getValue().shed();
            if (victim != null) {
                return victim;
            }
        }
        return null;
    }

    /**
     * Returns the estimated number of tokens that are served before new work of a team at an
     * urgency.
     */
    public long tokensAhead(TeamName team, int urgency) {
        long ahead = 0;
        for (Map.Entry<Integer, Level<T>> entry : mLevels.entrySet()) {
            if (entry.getKey() > urgency) {
                ahead += entry.getValue().mTokens;
            } else if (entry.getKey() == urgency) {
                ahead += entry.getValue().tokensAhead(team, mWeight.applyAsInt(team));
            }
        }
        return ahead;
    }

    /** Returns whether work of a team other than the given one is waiting. */
    public boolean otherTeamsWait(TeamName team) {
        return mLevels.values().stream()
                .flatMap(level -> level.mTeams.stream())
                .anyMatch(lane -> !lane.mTeam.equals(team));
    }

    /** Returns all waiting work, the most urgent first. */
    public List<T> all() {
        List<T> work = new ArrayList<>(mSize);
        for (Level<T> level : mLevels.values()) {
            level.mTeams.forEach(lane -> work.addAll(lane.mWork));
        }
        return work;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mSize;
    }

    private void added(T work) {
        mSize++;
        Level<T> level = mLevels.get(work.urgency());
        if (level != null) {
            level.mTokens += work.tokens();
        }
    }

    private TeamLane<T> lane(T work) {
        Level<T> level = mLevels.computeIfAbsent(work.urgency(), key -> new Level<>());
        for (TeamLane<T> lane : level.mTeams) {
            if (lane.mTeam.equals(work.team())) {
                return lane;
            }
        }
        TeamLane<T> lane = new TeamLane<>(work.team(), mWeight.applyAsInt(work.team()));
        level.mTeams.add(lane);
        return lane;
    }

    private static final class TeamLane<T extends QueuedWork> {
        private final TeamName mTeam;
        private final long mQuantumTokens;
        private final Deque<T> mWork = new ArrayDeque<>();
        private long mDeficitTokens;

        private TeamLane(TeamName team, int weight) {
            mTeam = team;
            mQuantumTokens = QUANTUM_TOKENS * Math.max(1, weight);
        }

        private long missingRounds() {
            T head = mWork.peekFirst();
            long missing = head == null ? 0 : head.tokens() - mDeficitTokens;
            return missing <= 0 ? 0 : (missing + mQuantumTokens - 1) / mQuantumTokens;
        }
    }

    private static final class Level<T extends QueuedWork> {
        /**
         * Teams with waiting work. The team at index {@link #mNextTeam} is served first if its
         * deficit allows.
         */
        private final List<TeamLane<T>> mTeams = new ArrayList<>();

        private int mNextTeam;
        private long mTokens;

        private @Nullable T next(Predicate<? super T> allowed) {
            TeamLane<T> best = null;
            long bestRounds = Long.MAX_VALUE;
            int bestIndex = 0;
            for (int count = 0; count < mTeams.size(); count++) {
                int index = (mNextTeam + count) % mTeams.size();
                TeamLane<T> lane = mTeams.get(index);
                T head = lane.mWork.peekFirst();
                long rounds = lane.missingRounds();
                if (head != null && rounds < bestRounds && allowed.test(head)) {
                    best = lane;
                    bestRounds = rounds;
                    bestIndex = index;
                }
            }
            if (best == null) {
                return null;
            }
            addDeficit(bestRounds, allowed);
            mNextTeam = bestIndex;
            return best.mWork.peekFirst();
        }

        /**
         * Adds the deficit of the rounds until the next team can be served to all teams whose first
         * work is allowed.
         */
        private void addDeficit(long rounds, Predicate<? super T> allowed) {
            if (rounds == 0) {
                return;
            }
            for (TeamLane<T> lane : mTeams) {
                T head = lane.mWork.peekFirst();
                if (head != null && allowed.test(head)) {
                    lane.mDeficitTokens += rounds * lane.mQuantumTokens;
                }
            }
        }

        private void charge(T work) {
            for (TeamLane<T> lane : mTeams) {
                if (lane.mTeam.equals(work.team())) {
                    lane.mDeficitTokens -= work.tokens();
                }
            }
        }

        private boolean remove(T work) {
            for (int index = 0; index < mTeams.size(); index++) {
                TeamLane<T> lane = mTeams.get(index);
                if (lane.mTeam.equals(work.team()) && lane.mWork.remove(work)) {
                    mTokens -= work.tokens();
                    if (lane.mWork.isEmpty()) {
                        mTeams.remove(index);
                        mNextTeam = mNextTeam > index ? mNextTeam - 1 : mNextTeam;
                        mNextTeam = mTeams.isEmpty() ? 0 : mNextTeam % mTeams.size();
                    }
                    return true;
                }
            }
            return false;
        }

        private @Nullable T shed() {
            TeamLane<T> largest = null;
            T victim = null;
            for (TeamLane<T> lane : mTeams) {
                T last = lane.mWork.peekLast();
                if (last != null
                        && last.mayBeShed()
                        && (largest == null || lane.mWork.size() > largest.mWork.size())) {
                    largest = lane;
                    victim = last;
                }
            }
            return victim;
        }

        private long tokensAhead(TeamName team, int weight) {
            long ownTokens = 0;
            long weights = Math.max(1, weight);
            for (TeamLane<T> lane : mTeams) {
                if (lane.mTeam.equals(team)) {
                    ownTokens = lane.mWork.stream().mapToLong(QueuedWork::tokens).sum();
                } else {
                    weights += lane.mQuantumTokens / QUANTUM_TOKENS;
                }
            }
            double rounds = (double) weights / Math.max(1, weight);
            // Work of other teams that arrives later is served in turn as well, so that the tokens
            // waiting now are not an upper bound.
            return (long) (ownTokens * rounds) + weights * QUANTUM_TOKENS;
        }
    }
}
