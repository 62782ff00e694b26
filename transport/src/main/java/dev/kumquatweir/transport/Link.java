package dev.kumquatweir.transport;

import dev.kumquatweir.core.identity.InstanceId;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/** The connection that this instance dials to one peer. Used by the I/O thread unless stated. */
final class Link {
    private final InstanceId mPeer;
    private final InetSocketAddress mAddress;
    private final Backoff mBackoff;
    private final LogLimiter mLogLimiter;
    private @Nullable Connection mCurrent;
    private volatile @Nullable Connection mEstablished;
    private volatile @Nullable TransportFailure mLastFailure;

    Link(InstanceId peer, InetSocketAddress address, Backoff backoff, LogLimiter logLimiter) {
        mPeer = peer;
        mAddress = address;
        mBackoff = backoff;
        mLogLimiter = logLimiter;
    }

    InstanceId peer() {
        return mPeer;
    }

    InetSocketAddress address() {
        return mAddress;
    }

    Backoff backoff() {
        return mBackoff;
    }

    LogLimiter logLimiter() {
        return mLogLimiter;
    }

    /** Returns the connection in any state, or null if none is open. */
    @Nullable Connection current() {
        return mCurrent;
    }

    /** Returns the authenticated connection or null; from any thread. */
    @Nullable Connection established() {
        return mEstablished;
    }

    void dialled(Connection connection) {
        mCurrent = connection;
    }

    void authenticated(Connection connection) {
        mEstablished = connection;
    }

    /** Returns why the latest connection ended, or null if none has; from any thread. */
    @Nullable TransportFailure lastFailure() {
        return mLastFailure;
    }

    void closed(TransportFailure failure) {
        mLastFailure = failure;
        mEstablished = null;
        mCurrent = null;
    }
}
