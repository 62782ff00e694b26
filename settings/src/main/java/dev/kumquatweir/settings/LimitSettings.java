package dev.kumquatweir.settings;

/**
 * Bounds on what one instance accepts. Immutable.
 *
 * @param bodyBytes largest body of a request
 * @param runningRequests largest number of requests admitted at once
 * @param idleConnectionMillis how long a connection without a request stays open
 * @param drainMillis longest wait for admitted work on a planned stop
 * @param connections limits of HTTP connections
 */
public record LimitSettings(
        long bodyBytes,
        int runningRequests,
        long idleConnectionMillis,
        long drainMillis,
        ConnectionSettings connections) {}
