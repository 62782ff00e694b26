package dev.kumquatweir.transport;

import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the inbound connections against their limits: one for each authenticated peer, and a
 * separate number of unauthenticated ones, so that strangers do not displace peers. Used by one
 * thread.
 */
final class InboundConnections {
    private final PeerLimits mLimits;
    private final Set<Connection> mUnauthenticated = new HashSet<>();
    private final Map<InstanceId, Connection> mByPeer = new HashMap<>();

    InboundConnections(PeerLimits limits) {
        mLimits = limits;
    }

    /** Returns the failure that closes one more connection at once, if the limit is reached. */
    Option<TransportFailure> refusal(String remote) {
        int limit = mLimits.unauthenticatedConnections();
        return mUnauthenticated.size() < limit
                ? Option.none()
                : Option.of(new TransportFailure.TooManyConnections(remote, limit));
    }

    void opened(Connection connection) {
        mUnauthenticated.add(connection);
    }

    /**
     * Notes that a connection is authenticated.
     *
     * @return the failure that closes it, if the limit is reached
     */
    Option<TransportFailure> authenticated(Connection connection, InstanceId peer) {
        mUnauthenticated.remove(connection);
        int limit = mLimits.inboundConnections();
        if (!mByPeer.containsKey(peer) && mByPeer.size() >= limit) {
            return Option.of(new TransportFailure.TooManyConnections(connection.remote(), limit));
        }
        Connection previous = mByPeer.put(peer, connection);
        if (previous != null) {
            // A peer dials only after its connection ended, even if this side has not noticed.
            previous.close(
                    new TransportFailure.ConnectionLost(
                            previous.remote(), "replaced by a newer connection"));
        }
        return Option.none();
    }

    void closed(Connection connection) {
        mUnauthenticated.remove(connection);
        InstanceId peer = connection.peer();
        if (peer != null) {
            mByPeer.remove(peer, connection);
        }
    }

    /** Returns the authenticated connections. */
    Map<InstanceId, Connection> byPeer() {
        return Map.copyOf(mByPeer);
    }
}
