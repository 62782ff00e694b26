package dev.kumquatweir.program.permit;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.dispatch.DispatchAction;
import dev.kumquatweir.policy.dispatch.Dispatcher;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import io.vavr.control.Either;
import java.util.List;

/**
 * A dispatcher whose permits are renewed on the duty that drives it. Not thread-safe: owned by the
 * dispatch duty.
 */
public final class PermitRenewingDispatcher implements Dispatcher {
    private final Dispatcher mDispatcher;
    private final PermitRenewal mRenewal;

    /** Puts the renewal before each call of {@link Dispatcher#pollActions}. */
    public PermitRenewingDispatcher(Dispatcher dispatcher, PermitRenewal renewal) {
        mDispatcher = dispatcher;
        mRenewal = renewal;
    }

    @Override
    public void configure(ConfigurationDocument document, long nowNanos) {
        mDispatcher.configure(document, nowNanos);
    }

    @Override
    public void upstreamAnnounced(Announcement announcement, long nowNanos) {
        mDispatcher.upstreamAnnounced(announcement, nowNanos);
    }

    @Override
    public boolean loadReported(LoadReport load, long nowNanos) {
        return mDispatcher.loadReported(load, nowNanos);
    }

    @Override
    public boolean cacheChanged(CacheEvents events, long nowNanos) {
        return mDispatcher.cacheChanged(events, nowNanos);
    }

    @Override
    public void upstreamLeft(UpstreamId upstream, long incarnation, long nowNanos) {
        mDispatcher.upstreamLeft(upstream, incarnation, nowNanos);
    }

    @Override
    public Either<RequestFailure, Void> admit(WorkRequest request, long nowNanos) {
        return mDispatcher.admit(request, nowNanos);
    }

    @Override
    public void handleEvent(AttemptEvent event, long nowNanos) {
        mDispatcher.handleEvent(event, nowNanos);
    }

    @Override
    public List<DispatchAction> pollActions(long nowNanos) {
        mRenewal.poll(nowNanos);
        return mDispatcher.pollActions(nowNanos);
    }
}
