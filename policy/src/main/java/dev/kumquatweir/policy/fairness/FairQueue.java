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
 * Waiting work in strict order of urgency and, within an urgency, by deficit round robin over the
 * teams: each team is served tokens in proportion to its weight, whatever the size of its requests.
 * Not thread-safe: owned by the dispatch duty.
 *
 * @param <T> the work
 */
public final class FairQueue<T extends QueuedWork> {
    /** Tokens that a team of weight 1 gains in each round. */
    static final long QUANTUM_TOKENS = 1_024;

    private final ToIntFunction<TeamName> mWeight;
    private final boolean mShortestFirst;
    private final TreeMap<Integer, Level<T>> mLevels = new TreeMap<>(Collections.reverseOrder());
    private int mSize;

    /**
     * Makes an empty queue.
     *
     * @param weight weight of each team
     * @param shortestFirst whether a team's cheapest work is served first, else its oldest
     */
    public FairQueue(ToIntFunction<TeamName> weight, boolean shortestFirst) {
        mWeight = weight;
        mShortestFirst = shortestFirst;
    }

    /** Adds work behind that of its team, or behind the cheaper work of its team. */
    public void add(T work) {
        Deque<T> queue = lane(work).mWork;
        Deque<T> dearer = new ArrayDeque<>();
        while (mShortestFirst && !queue.isEmpty() && queue.getLast().tokens() > work.tokens()) {
            dearer.addFirst(queue.removeLast());
        }
        queue.addLast(work);
        queue.addAll(dearer);
        added(work);
    }

    /**
     * Adds work before that of its team.
     *
     * @param refund whether its team gets back what it was charged, since the work did not run
     */
    public void addFirst(T work, boolean refund) {
        TeamLane<T> lane = lane(work);
        lane.mWork.addFirst(work);
        lane.mDeficit += refund ? work.tokens() : 0;
        added(work);
    }

    /**
     * Returns the work to be served next without taking it, null if none is allowed. A team whose
     * first work is not allowed is passed over.
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

    /** Takes work that {@link #next} returned and charges its team. */
    public void take(T work) {
        Level<T> level = mLevels.get(work.urgency());
        if (level != null) {
            level.charge(work);
            remove(work);
        }
    }

    /**
     * Removes work that is not served any more.
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

    /** Returns the newest of the least urgent work below an urgency that may be shed, or null. */
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

    /** Returns the waiting tokens that are served before new work of a team at an urgency. */
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

    /** Returns whether a team other than the given one waits. */
    public boolean otherTeamsWait(TeamName team) {
        return mLevels.values().stream()
                .flatMap(level -> level.mTeams.stream())
                .anyMatch(lane -> !lane.mTeam.equals(team));
    }

    /** Returns all waiting work. */
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
        private final long mQuantum;
        private final Deque<T> mWork = new ArrayDeque<>();
        private long mDeficit;

        private TeamLane(TeamName team, int weight) {
            mTeam = team;
            mQuantum = QUANTUM_TOKENS * Math.max(1, weight);
        }

        private long missingRounds() {
            T head = mWork.peekFirst();
            long missing = head == null ? 0 : head.tokens() - mDeficit;
            return missing <= 0 ? 0 : (missing + mQuantum - 1) / mQuantum;
        }
    }

    private static final class Level<T extends QueuedWork> {
        /** Teams that wait; the one at {@link #mTurn} is served first if its deficit allows. */
        private final List<TeamLane<T>> mTeams = new ArrayList<>();

        private int mTurn;
        private long mTokens;

        private @Nullable T next(Predicate<? super T> allowed) {
            TeamLane<T> best = null;
            long bestRounds = Long.MAX_VALUE;
            int bestPlace = 0;
            for (int count = 0; count < mTeams.size(); count++) {
                int place = (mTurn + count) % mTeams.size();
                TeamLane<T> lane = mTeams.get(place);
                T head = lane.mWork.peekFirst();
                long rounds = lane.missingRounds();
                if (head != null && rounds < bestRounds && allowed.test(head)) {
                    best = lane;
                    bestRounds = rounds;
                    bestPlace = place;
                }
            }
            if (best == null) {
                return null;
            }
            grant(bestRounds, allowed);
            mTurn = bestPlace;
            return best.mWork.peekFirst();
        }

        /** Gives all teams that could be served the rounds that pass until one can. */
        private void grant(long rounds, Predicate<? super T> allowed) {
            if (rounds == 0) {
                return;
            }
            for (TeamLane<T> lane : mTeams) {
                T head = lane.mWork.peekFirst();
                if (head != null && allowed.test(head)) {
                    lane.mDeficit += rounds * lane.mQuantum;
                }
            }
        }

        private void charge(T work) {
            for (TeamLane<T> lane : mTeams) {
                if (lane.mTeam.equals(work.team())) {
                    lane.mDeficit -= work.tokens();
                }
            }
        }

        private boolean remove(T work) {
            for (int place = 0; place < mTeams.size(); place++) {
                TeamLane<T> lane = mTeams.get(place);
                if (lane.mTeam.equals(work.team()) && lane.mWork.remove(work)) {
                    mTokens -= work.tokens();
                    if (lane.mWork.isEmpty()) {
                        mTeams.remove(place);
                        mTurn = mTurn > place ? mTurn - 1 : mTurn;
                        mTurn = mTeams.isEmpty() ? 0 : mTurn % mTeams.size();
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
            long own = 0;
            long weights = Math.max(1, weight);
            for (TeamLane<T> lane : mTeams) {
                if (lane.mTeam.equals(team)) {
                    own = lane.mWork.stream().mapToLong(QueuedWork::tokens).sum();
                } else {
                    weights += lane.mQuantum / QUANTUM_TOKENS;
                }
            }
            double turns = (double) weights / Math.max(1, weight);
            // Work of other teams that arrives later is served in turn too, so that the tokens that
            // wait now are no bound.
            return (long) (own * turns) + weights * QUANTUM_TOKENS;
        }
    }
}
