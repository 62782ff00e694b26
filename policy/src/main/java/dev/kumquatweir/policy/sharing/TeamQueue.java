package dev.kumquatweir.policy.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The order of the waiting requests of one team. Stateless. */
final class TeamQueue {
    /**
     * One of this many turns goes to a request that returns after a rejection, if one waits. It is
     * usually late, but would never be served if all requests that can be on time came first.
     */
    private static final int TURNS_PER_RETURN = 5;

    /** The oldest first, whatever its size, so that no size waits longer than another. */
    private static <T> Comparator<ShareEntry<T>> oldestFirst() {
        return Comparator.comparingLong(ShareEntry::firstArrivedNanos);
    }

    private TeamQueue() {}

    /**
     * Returns the entries in the order in which they use the share of their team.
     *
     * @param served number of requests of the team that were placed so far
     */
    static <T> List<ShareEntry<T>> order(List<ShareEntry<T>> entries, long served) {
        if (entries.size() < 2) {
            return entries;
        }
        List<ShareEntry<T>> returning =
                entries.stream()
                        .filter(entry -> entry.late() && entry.returning())
                        .sorted(oldestFirst())
                        .toList();
        List<ShareEntry<T>> others =
                entries.stream()
                        .filter(entry -> !entry.late() || !entry.returning())
                        .sorted(
                                Comparator.<ShareEntry<T>, Boolean>comparing(ShareEntry::late)
                                        .thenComparing(oldestFirst()))
                        .toList();
        List<ShareEntry<T>> ordered = new ArrayList<>(entries.size());
        int nextReturning = 0;
        int nextOther = 0;
        for (long turn = served; ordered.size() < entries.size(); turn++) {
            boolean returns = nextReturning < returning.size();
            boolean reserved = turn % TURNS_PER_RETURN == TURNS_PER_RETURN - 1;
            boolean noOther =
                    nextOther == others.size() || (returns && others.get(nextOther).late());
            if (returns && (reserved || noOther)) {
                ordered.add(returning.get(nextReturning));
                nextReturning++;
            } else {
                ordered.add(others.get(nextOther));
                nextOther++;
            }
        }
        return ordered;
    }
}
