package dev.kumquatweir.transport;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.identity.InstanceId;

/**
 * Why a frame was not sent, a request got no answer or a connection was closed. {@link #executed}
 * concerns the remote handler of a request: {@code NO} only where the frame can't have arrived.
 */
public sealed interface TransportFailure extends Failure {

    /** Failures of a whole connection; they fail all requests that were sent on it. */
    sealed interface OfConnection extends TransportFailure {
        @Override
        default Executed executed() {
            return Executed.UNKNOWN;
        }
    }

    /**
     * The member list has no such peer.
     *
     * @param peer the instance that was named
     */
    record UnknownPeer(InstanceId peer) implements TransportFailure {
        @Override
        public String code() {
            return "unknown_peer";
        }

        @Override
        public String message() {
            return "the member list has no instance " + peer;
        }
    }

    /**
     * There is no authenticated connection to the peer now.
     *
     * @param peer the instance that was to receive the frame
     */
    record NotConnected(InstanceId peer) implements TransportFailure {
        @Override
        public String code() {
            return "not_connected";
        }

        @Override
        public String message() {
            return "there is no connection to " + peer;
        }
    }

    /**
     * The bounded outbound queue is full; the frame was dropped.
     *
     * @param remote peer or address of the connection
     * @param waitingFrames frames that wait to be written
     * @param waitingBytes payload bytes that wait to be written
     */
    record QueueFull(String remote, long waitingFrames, long waitingBytes)
            implements TransportFailure {
        @Override
        public String code() {
            return "outbound_queue_full";
        }

        @Override
        public String message() {
            return waitingFrames + " frames with " + waitingBytes + " bytes wait for " + remote;
        }
    }

    /**
     * Too many requests to this peer are without an answer.
     *
     * @param remote peer or address of the connection
     * @param limit largest number of unanswered requests
     */
    record TooManyRequests(String remote, int limit) implements TransportFailure {
        @Override
        public String code() {
            return "too_many_requests";
        }

        @Override
        public String message() {
            return limit + " requests to " + remote + " have no answer yet";
        }
    }

    /**
     * The payload does not fit into a frame.
     *
     * @param sizeBytes size of the payload
     * @param limitBytes largest payload
     */
    record PayloadTooLarge(long sizeBytes, long limitBytes) implements TransportFailure {
        @Override
        public String code() {
            return "payload_too_large";
        }

        @Override
        public String message() {
            return "a payload of " + sizeBytes + " bytes exceeds the limit of " + limitBytes;
        }
    }

    /**
     * No answer came in time. An answer that comes later is dropped.
     *
     * @param remote peer or address of the connection
     * @param sent whether any byte of the request was handed to the connection
     */
    record TimedOut(String remote, boolean sent) implements TransportFailure {
        @Override
        public String code() {
            return "request_timed_out";
        }

        @Override
        public String message() {
            return "no answer from " + remote + " in time; request sent: " + sent;
        }

        @Override
        public Executed executed() {
            return sent ? Executed.UNKNOWN : Executed.NO;
        }
    }

    /**
     * The peer received the request and refused it.
     *
     * @param remote peer or address of the connection
     * @param reason why it did
     */
    record Refused(String remote, RefusalReason reason) implements TransportFailure {
        @Override
        public String code() {
            return "refused_by_peer";
        }

        @Override
        public String message() {
            return remote + " refused the request: " + reason;
        }

        @Override
        public Executed executed() {
            return reason == RefusalReason.NO_HANDLER ? Executed.NO : Executed.UNKNOWN;
        }
    }

    /**
     * The listen address can't be used.
     *
     * @param address where to listen
     * @param problem what the operating system gave as the reason
     */
    record ListenFailed(String address, String problem) implements TransportFailure {
        @Override
        public String code() {
            return "listen_failed";
        }

        @Override
        public String message() {
            return "can't listen on " + address + ": " + problem;
        }
    }

    /** The network was closed on this side. */
    record Stopped() implements OfConnection {
        @Override
        public String code() {
            return "transport_stopped";
        }

        @Override
        public String message() {
            return "the peer network of this instance is closed";
        }
    }

    /**
     * The peer proved knowledge of another cluster key, or of none.
     *
     * @param remote peer or address of the connection
     */
    record WrongKey(String remote) implements OfConnection {
        @Override
        public String code() {
            return "wrong_cluster_key";
        }

        @Override
        public String message() {
            return remote + " does not have the cluster key of this instance";
        }
    }

    /**
     * The peer belongs to another cluster.
     *
     * @param remote peer or address of the connection
     * @param theirs cluster that the peer named
     */
    record WrongCluster(String remote, String theirs) implements OfConnection {
        @Override
        public String code() {
            return "wrong_cluster";
        }

        @Override
        public String message() {
            return remote + " belongs to cluster '" + theirs + "'";
        }
    }

    /**
     * The peer speaks another version of the protocol.
     *
     * @param remote peer or address of the connection
     * @param theirs version in the peer's frame
     */
    record WrongVersion(String remote, long theirs) implements OfConnection {
        @Override
        public String code() {
            return "wrong_protocol_version";
        }

        @Override
        public String message() {
            return remote + " speaks version " + theirs + ", not " + Frame.VERSION;
        }
    }

    /**
     * The peer is another instance than the one dialled, or not in the member list.
     *
     * @param remote peer or address of the connection
     * @param theirs identifier that the peer gave
     */
    record UnexpectedPeer(String remote, String theirs) implements OfConnection {
        @Override
        public String code() {
            return "unexpected_peer";
        }

        @Override
        public String message() {
            return remote + " identified itself as '" + theirs + "'";
        }
    }

    /**
     * Connecting and authenticating took too long.
     *
     * @param remote peer or address of the connection
     */
    record HandshakeTimedOut(String remote) implements OfConnection {
        @Override
        public String code() {
            return "handshake_timed_out";
        }

        @Override
        public String message() {
            return "connecting to or authenticating " + remote + " took too long";
        }
    }

    /**
     * The bytes are not a frame of this protocol, or not one allowed at this point.
     *
     * @param remote peer or address of the connection
     * @param problem what is wrong
     */
    record MalformedFrame(String remote, String problem) implements OfConnection {
        @Override
        public String code() {
            return "malformed_frame";
        }

        @Override
        public String message() {
            return remote + " sent a malformed frame: " + problem;
        }
    }

    /**
     * A frame announces a length that is not allowed.
     *
     * @param remote peer or address of the connection
     * @param lengthBytes length in the frame's first 4 bytes, unsigned
     * @param limitBytes largest length allowed at this point
     */
    record OversizeFrame(String remote, long lengthBytes, long limitBytes) implements OfConnection {
        @Override
        public String code() {
            return "oversize_frame";
        }

        @Override
        public String message() {
            return remote + " announced " + lengthBytes + " bytes; the limit is " + limitBytes;
        }
    }

    /**
     * Half-received frames of all connections take all the memory set aside for them.
     *
     * @param remote connection whose frame found no room
     * @param limitBytes memory for half-received frames
     */
    record ReceiveMemoryFull(String remote, long limitBytes) implements OfConnection {
        @Override
        public String code() {
            return "receive_memory_full";
        }

        @Override
        public String message() {
            return "half-received frames take " + limitBytes + " bytes; closing " + remote;
        }
    }

    /**
     * The connection was closed or reset, or could not be opened.
     *
     * @param remote peer or address of the connection
     * @param problem what the operating system or this instance gave as the reason
     */
    record ConnectionLost(String remote, String problem) implements OfConnection {
        @Override
        public String code() {
            return "connection_lost";
        }

        @Override
        public String message() {
            return "connection to " + remote + ": " + problem;
        }
    }

    /**
     * Nothing was received for longer than the limit although pings are due.
     *
     * @param remote peer or address of the connection
     * @param silentMillis time since the last byte was received
     */
    record SilentConnection(String remote, long silentMillis) implements OfConnection {
        @Override
        public String code() {
            return "silent_connection";
        }

        @Override
        public String message() {
            return "nothing received from " + remote + " for " + silentMillis + " ms";
        }
    }

    /**
     * The limit of inbound connections is reached; the new one was closed.
     *
     * @param remote address of the new connection
     * @param limit largest number of connections of its kind
     */
    record TooManyConnections(String remote, int limit) implements OfConnection {
        @Override
        public String code() {
            return "too_many_connections";
        }

        @Override
        public String message() {
            return "closing " + remote + ": the limit is " + limit + " inbound connections";
        }
    }
}
