package dev.kumquatweir.transport;

/**
 * Counters of one {@link PeerNetwork} since its start.
 *
 * @param sentBytes bytes written to connections
 * @param receivedBytes bytes read from connections
 * @param sentFrames frames written
 * @param receivedFrames complete frames read
 * @param lateAnswers answers dropped because their request had ended
 * @param connections open connections now, both directions
 */
public record TransportStatistics(
        long sentBytes,
        long receivedBytes,
        long sentFrames,
        long receivedFrames,
        long lateAnswers,
        int connections) {}
