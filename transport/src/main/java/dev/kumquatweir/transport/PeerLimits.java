package dev.kumquatweir.transport;

import java.util.concurrent.TimeUnit;

/**
 * Bounds of a {@link PeerNetwork}. Immutable.
 *
 * @param frameBytes largest frame without its length
 * @param outboundFrames frames that may wait on one connection
 * @param outboundBytes payload bytes that may wait on one connection
 * @param unansweredRequests requests without an answer on one connection
 * @param inboundConnections authenticated inbound connections
 * @param unauthenticatedConnections inbound connections that have not authenticated yet
 * @param receiveMemoryBytes memory for half-received frames of all connections
 * @param pingNanos time between two pings
 * @param silenceNanos a connection that receives nothing for so long is closed
 * @param handshakeNanos time to connect and authenticate
 * @param firstBackoffNanos delay before the first repeated dial
 * @param backoffLimitNanos largest delay before a repeated dial
 */
public record PeerLimits(
        int frameBytes,
        int outboundFrames,
        long outboundBytes,
        int unansweredRequests,
        int inboundConnections,
        int unauthenticatedConnections,
        long receiveMemoryBytes,
        long pingNanos,
        long silenceNanos,
        long handshakeNanos,
        long firstBackoffNanos,
        long backoffLimitNanos) {

    private static final int MEBIBYTE = 1024 * 1024;

    /** Checks that each bound is positive and that pings fit into the silence limit. */
    public PeerLimits {
        boolean positive =
                frameBytes > Frame.OVERHEAD_BYTES
                        && outboundFrames > 0
                        && outboundBytes > 0
                        && unansweredRequests > 0
                        && inboundConnections > 0
                        && unauthenticatedConnections > 0
                        && receiveMemoryBytes > 0
                        && pingNanos > 0
                        && handshakeNanos > 0
                        && firstBackoffNanos > 0;
        if (!positive || silenceNanos < 2 * pingNanos || backoffLimitNanos < firstBackoffNanos) {
            throw new IllegalArgumentException("limits out of range");
        }
    }

    /** Returns the bounds of the design. */
    public static PeerLimits defaults() {
        return new PeerLimits(
                16 * MEBIBYTE,
                8_192,
                32L * MEBIBYTE,
                16_384,
                1_024,
                64,
                64L * MEBIBYTE,
                TimeUnit.MILLISECONDS.toNanos(500),
                TimeUnit.SECONDS.toNanos(2),
                TimeUnit.SECONDS.toNanos(3),
                TimeUnit.MILLISECONDS.toNanos(25),
                TimeUnit.SECONDS.toNanos(2));
    }

    /** Returns the same bounds with another outbound queue. */
    public PeerLimits withOutbound(int frames, long bytes) {
        return new PeerLimits(
                frameBytes,
                frames,
                bytes,
                unansweredRequests,
                inboundConnections,
                unauthenticatedConnections,
                receiveMemoryBytes,
                pingNanos,
                silenceNanos,
                handshakeNanos,
                firstBackoffNanos,
                backoffLimitNanos);
    }

    /** Returns the same bounds with other limits of inbound connections. */
    public PeerLimits withConnections(int inbound, int unauthenticated) {
        return new PeerLimits(
                frameBytes,
                outboundFrames,
                outboundBytes,
                unansweredRequests,
                inbound,
                unauthenticated,
                receiveMemoryBytes,
                pingNanos,
                silenceNanos,
                handshakeNanos,
                firstBackoffNanos,
                backoffLimitNanos);
    }

    /** Returns the same bounds with other times. */
    public PeerLimits withTimes(long ping, long silence, long handshake) {
        return new PeerLimits(
                frameBytes,
                outboundFrames,
                outboundBytes,
                unansweredRequests,
                inboundConnections,
                unauthenticatedConnections,
                receiveMemoryBytes,
                ping,
                silence,
                handshake,
                firstBackoffNanos,
                backoffLimitNanos);
    }

    /** Returns the same bounds with another number of unanswered requests. */
    public PeerLimits withUnansweredRequests(int requests) {
        return new PeerLimits(
                frameBytes,
                outboundFrames,
                outboundBytes,
                requests,
                inboundConnections,
                unauthenticatedConnections,
                receiveMemoryBytes,
                pingNanos,
                silenceNanos,
                handshakeNanos,
                firstBackoffNanos,
                backoffLimitNanos);
    }

    int payloadBytes() {
        return frameBytes - Frame.OVERHEAD_BYTES;
    }
}
