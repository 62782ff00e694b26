package dev.kumquatweir.policy.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * Accounts of the work that each team has received, for one rank of one service. Teams with waiting
 * requests get equal work, or work in proportion to their weights, by start-time fair queueing:
 * each request has a start tag, the work that its team received before it divided by the weight,
 * and the lowest tag is served first. A team that begins to wait starts at the present virtual
 * time, the lowest tag of the teams that waited at the last placement, so that it has no credit
 * from the time without waiting requests. Not thread-safe.
 */
final class TeamAccounts {
    /** Accounts beyond this number are removed if their team has neither credit nor debt. */
    private static final int MAXIMUM_ACCOUNTS = 1_000;

    private final Map<String, Account> mAccounts = new HashMap<>();
    private final ToDoubleFunction<String> mWeight;
    private double mVirtualTime;

    private static final class Account {
        private double mNextTag;
        private long mServed;
        private boolean mWaiting;
    }

    /**
     * @param weight function that returns the weight of a team, above 0
     */
    TeamAccounts(ToDoubleFunction<String> weight) {
        mWeight = weight;
    }

    /** Returns the waiting requests of all teams in the order in which they are served. */
    <T> List<ShareTurn<T>> order(List<ShareEntry<T>> entries) {
        Map<String, List<ShareEntry<T>>> byTeam = new LinkedHashMap<>();
        entries.forEach(
                entry -> byTeam.computeIfAbsent(entry.team(), key -> new ArrayList<>()).add(entry));
        markWaiting(byTeam.keySet());
        List<ShareTurn<T>> turns = new ArrayList<>(entries.size());
        byTeam.forEach((team, queue) -> addTurns(team, queue, turns));
        turns.sort(Comparator.comparingDouble(ShareTurn::startTag));
        return withSumsAhead(turns);
    }

    private <T> void addTurns(String team, List<ShareEntry<T>> queue, List<ShareTurn<T>> turns) {
        Account account = account(team);
        double tag = account.mNextTag;
        for (ShareEntry<T> entry : TeamQueue.order(queue, account.mServed)) {
            int late = entry.late() ? 1 : 0;
            turns.add(new ShareTurn<>(entry.item(), tag, entry.work(), late));
            tag += entry.work() / mWeight.applyAsDouble(team);
        }
    }

    /** Replaces the own work and lateness of each turn by the sums of the turns before it. */
    private static <T> List<ShareTurn<T>> withSumsAhead(List<ShareTurn<T>> turns) {
        List<ShareTurn<T>> result = new ArrayList<>(turns.size());
        double workAhead = 0;
        int lateAhead = 0;
        for (ShareTurn<T> turn : turns) {
            result.add(new ShareTurn<>(turn.item(), turn.startTag(), workAhead, lateAhead));
            workAhead += turn.workAhead();
            lateAhead += turn.lateAhead();
        }
        return result;
    }

    private void markWaiting(Set<String> teams) {
        mAccounts.forEach((team, account) -> account.mWaiting &= teams.contains(team));
        for (String team : teams) {
            Account account = account(team);
            if (!account.mWaiting) {
                account.mNextTag = Math.max(account.mNextTag, mVirtualTime);
                account.mWaiting = true;
            }
        }
    }

    /** Records that a request of a team was placed. */
    void charge(String team, double work) {
        Account account = account(team);
        if (!account.mWaiting) {
            account.mNextTag = Math.max(account.mNextTag, mVirtualTime);
        }
        mVirtualTime = Math.max(mVirtualTime, lowestTag(account));
        account.mNextTag += work / mWeight.applyAsDouble(team);
        account.mServed++;
    }

    /**
     * Returns the lowest start tag of the waiting teams and the given one. A request may be placed
     * before others with lower tags that no upstream suits. If its tag was the virtual time, teams
     * that begin to wait would start behind all of those.
     */
    private double lowestTag(Account served) {
        return mAccounts.values().stream()
                .filter(account -> account.mWaiting)
                .mapToDouble(account -> account.mNextTag)
                .reduce(served.mNextTag, Math::min);
    }

    /**
     * Records that requests of a team run, which were placed by another scheduler. Other teams are
     * served before it by at most the work of one of its requests: its earlier account is not
     * known, and a longer precedence would take its share for seconds.
     */
    void registerRunning(String team, double work) {
        Account account = account(team);
        account.mNextTag =
                Math.max(account.mNextTag, mVirtualTime + work / mWeight.applyAsDouble(team));
    }

    /** Returns the number of teams that have waiting requests, including the given one. */
    int waitingTeams(String team) {
        Set<String> waiting = new HashSet<>(Set.of(team));
        mAccounts.forEach(
                (name, account) -> {
                    if (account.mWaiting) {
                        waiting.add(name);
                    }
                });
        return waiting.size();
    }

    /** Returns the share of a team in the work of this rank while all present teams wait. */
    double share(String team) {
        double weights = mWeight.applyAsDouble(team);
        for (Map.Entry<String, Account> entry : mAccounts.entrySet()) {
            if (entry.getValue().mWaiting && !entry.getKey().equals(team)) {
                weights += mWeight.applyAsDouble(entry.getKey());
            }
        }
        return mWeight.applyAsDouble(team) / weights;
    }

    private Account account(String team) {
        if (mAccounts.size() >= MAXIMUM_ACCOUNTS) {
            mAccounts
                    .values()
                    .removeIf(account -> !account.mWaiting && account.mNextTag <= mVirtualTime);
        }
        return mAccounts.computeIfAbsent(team, key -> new Account());
    }
}
