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
 * The dispatch policy of one instance: admission of requests, placement on upstreams, and recovery
 * from failed attempts. Does no I/O and reads no clock, so that the gateway and the bench can drive
 * the same implementation.
 *
 * <p>Not thread-safe: owned by one duty. Times are monotonic nanoseconds of one clock.
 */
public interface Dispatcher {
    /** Applies a newer configuration. Work that it does not permit is no longer started. */
    void configure(ConfigurationDocument document, long nowNanos);

    /** Applies an announcement, received from the upstream itself or from another instance. */
    void upstreamAnnounced(Announcement announcement, long nowNanos);

    /**
     * Applies a load report.
     *
     * @return false if the upstream is unknown and has to announce itself
     */
    boolean loadReported(LoadReport load, long nowNanos);

    /**
     * Applies changes of an engine's prefix cache.
     *
     * @return false if events are missing and the upstream has to send a full snapshot
     */
    boolean cacheChanged(CacheEvents events, long nowNanos);

    /** Stops using an incarnation of an upstream that announced its shutdown. */
    void upstreamLeft(UpstreamId upstream, long incarnation, long nowNanos);

    /**
     * Decides whether to admit a request. An admitted request ends with {@link
     * AttemptEvent.Finished}, {@link DispatchAction.Fail} or {@link
     * AttemptEvent.CallerDisconnected} before its deadline.
     *
     * @return null on the right if the request is admitted, else the failure
     */
    Either<RequestFailure, Void> admit(WorkRequest request, long nowNanos);

    /** Applies an event that the driver observed. */
    void handleEvent(AttemptEvent event, long nowNanos);

    /**
     * Returns and removes the pending actions. Called after each of the methods above and on each
     * tick.
     */
    List<DispatchAction> pollActions(long nowNanos);
}
