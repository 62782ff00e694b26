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
}
