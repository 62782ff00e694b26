package dev.kumquatweir.standin;

import io.servicetalk.http.api.HttpServiceContext;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The open connections of a server and which of them went silent, as after a middlebox has lost its
 * state: nothing passes on them any more in either direction, and they stay open. Thread-safe.
 */
final class Connections {
    private final Set<HttpServiceContext> mOpen = ConcurrentHashMap.newKeySet();
    private final Set<HttpServiceContext> mSilent = ConcurrentHashMap.newKeySet();

    /** Notes a connection that a request came on. */
    void seen(HttpServiceContext connection) {
        if (mOpen.add(connection)) {
            connection.onClose().afterFinally(() -> forget(connection)).subscribe();
        }
    }

    /** Makes all open connections silent but the one that carried the command. */
    void silenceAllBut(HttpServiceContext exempt) {
        mOpen.stream().filter(connection -> connection != exempt).forEach(mSilent::add);
    }

    boolean isSilent(HttpServiceContext connection) {
        return mSilent.contains(connection);
    }

    private void forget(HttpServiceContext connection) {
        mOpen.remove(connection);
        mSilent.remove(connection);
    }
}
