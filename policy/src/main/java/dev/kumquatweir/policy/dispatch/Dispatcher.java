package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import io.vavr.control.Either;
import java.util.List;

/**
 * The policy of one instance: which requests are admitted, where they run, and what happens when an
 * attempt fails. Pure: no I/O, no clock. The gateway and the bench drive the same implementation.
 *
 * <p>Not thread-safe: owned by one duty. Times are monotonic nanoseconds of one clock.
 */
public interface Dispatcher {
    /** Takes over a newer configuration; work that it forbids is not started any more. */
    void configure(ConfigurationDocument document, long nowNanos);

    /** Takes an announcement, from the upstream itself or spread by another instance. */
    void upstreamAnnounced(Announcement announcement, long nowNanos);

    /**
     * Takes a load report.
     *
     * @return false if the upstream has to announce itself
     */
    boolean loadReported(LoadReport load, long nowNanos);

    /**
     * Takes cache events.
     *
     * @return false if events are missing and the upstream has to send its whole list
     */
    boolean cacheChanged(CacheEvents events, long nowNanos);

    /** Takes the word of an upstream that it leaves. */
    void upstreamLeft(UpstreamId upstream, long incarnation, long nowNanos);

    /**
     * Decides whether a request is admitted. An admitted request ends by {@link
     * AttemptEvent.Finished}, by a {@link DispatchAction.Fail} or by {@link
     * AttemptEvent.CallerDisconnected}, within its deadline.
     *
     * @return null on the right if it is admitted, else why it is not
     */
    Either<RequestFailure, Void> admit(WorkRequest request, long nowNanos);

    /** Takes what the driver saw. */
    void handleEvent(AttemptEvent event, long nowNanos);

    /** Returns what is to be done now; called after each of the methods above and on each tick. */
    List<DispatchAction> pollActions(long nowNanos);
}
