package dev.kumquatweir.policy.sharing;

/**
 * The turn of a waiting request. Immutable.
 *
 * @param item the request
 * @param startTag virtual time at which its team's share reaches it
 * @param workAhead work of the requests of the same rank that are served before it
 * @param lateAhead number of late requests that are served before it
 * @param <T> type of the requests
 */
public record ShareTurn<T>(T item, double startTag, double workAhead, int lateAhead) {}
