package dev.kumquatweir.policy.sharing;

/**
 * A request that waits for its team's turn. Immutable.
 *
 * @param item the request
 * @param team name of its team, empty if not known
 * @param work predicted work, in units that are the same for all requests of the service
 * @param late whether it can no longer be on time
 * @param returning whether its caller sends it again after a rejection
 * @param firstArrivedNanos time of its first arrival
 * @param <T> type of the requests
 */
public record ShareEntry<T>(
        T item,
        String team,
        double work,
        boolean late,
        boolean returning,
        long firstArrivedNanos) {}
