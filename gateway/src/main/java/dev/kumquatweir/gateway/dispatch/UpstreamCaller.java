package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.registry.Announcement;

/** Sends attempts to upstreams. Implementations are thread-safe and never block. */
public interface UpstreamCaller {
    /**
     * Sends an attempt once; never repeats it by itself.
     *
     * @param order what to send
     * @param listener told of everything that follows, until one of finished, answered, refused or
     *     broken
     * @return closes the attempt's connection when run; the listener hears nothing afterwards
     */
    Runnable start(AttemptOrder order, AttemptListener listener);

    /** Asks an engine to cancel an attempt and release its memory. Best effort. */
    void cancel(Announcement upstream, AttemptId attempt);

    /**
     * Gives up the idle connections of an upstream, because one of its connections went silent and
     * the others may be dead as well. Running attempts keep theirs; new ones open new connections.
     */
    void replaceConnections(Announcement upstream);
}
