package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.routing.RoutingTable;
import dev.kumquatweir.core.routing.UpstreamStatus;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.forward.PlacementPort;
import dev.kumquatweir.policy.placement.CrashEvent;
import dev.kumquatweir.policy.placement.LimitNotice;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.policy.placement.QuarantinedPart;
import dev.kumquatweir.policy.placement.UpstreamLimit;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.TransportFailure;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Requests upstreams from the leader's scheduler, or from a local scheduler while no leader is
 * reachable. Confined to the I/O thread.
 */
final class EntryPlacement implements PlacementPort {
    private static final EventLog LOG = EventLog.of(EntryPlacement.class);
    private static final long RESPONSE_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CAPABILITIES_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time since the last crash on a part in which requests with it are rejected here. Later the
     * leader decides, which lets one of them run from time to time to see whether the part is
     * sound.
     */
    private static final long LOCAL_REJECTION_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** Quarantined requests get no time after which to come back. */
    private static final long NO_RETRY = 0;

    private static final Bytes NO_CONTENT = Bytes.ofText("");

    private final InstanceId mSelf;
    private final SchedulerLink mLink;
    private final QuarantineDirectory mQuarantine;
    private final Clocks mClocks;
    private final Executor mExecutor;
    private final PlacementScheduler mLocalScheduler;
    private final Map<PlacementKey, TrackedRequest> mRequests = new LinkedHashMap<>();
    private @Nullable InstanceId mLeader;
    private PeerCapabilities mCapabilities = PeerCapabilities.NONE;
    private long mLeaderLostNanos;
    private long mLastKeyNumber;

    /** Request that is waiting for an upstream or running on one. */
    private static final class TrackedRequest {
        private final PlacementRequest mRequest;
        private final Consumer<PlacementAction> mCallback;
        private @Nullable InstanceId mScheduler;
        private PlacementAction.@Nullable Grant mGrant;
        private long mGrantedNanos;
        private boolean mStarted;

        TrackedRequest(PlacementRequest request, Consumer<PlacementAction> callback) {
            mRequest = request;
            mCallback = callback;
        }
    }

    EntryPlacement(
            InstanceId self,
            SchedulerLink link,
            QuarantineDirectory quarantine,
            PlacementScheduler localScheduler,
            Clocks clocks,
            Executor executor) {
        mSelf = self;
        mLink = link;
        mQuarantine = quarantine;
        mClocks = clocks;
        mExecutor = executor;
        mLocalScheduler = localScheduler;
        mLocalScheduler.configureStandalone(1, self.hashCode());
        mLeaderLostNanos = clocks.nowNanos();
        mLastKeyNumber = TimeUnit.MILLISECONDS.toNanos(clocks.nowMillis());
    }

    // Updates from control instances.

    void setRouting(RoutingTable routing, Set<FailureDomain> domainsOut) {
        mLocalScheduler.setRouting(routing, domainsOut);
        decideLocally();
    }

    void updateUpstream(UpstreamStatus status, long lastSeenNanos) {
        mLocalScheduler.updateUpstream(status, lastSeenNanos);
    }

    /** Applies verdicts on parts of prompts that the directory has learned. */
    void applyVerdicts(List<QuarantineVerdict> learned, long nowNanos) {
        mQuarantine.apply(learned, mLocalScheduler, nowNanos);
    }

    void setLeader(InstanceId leader, int entryCount) {
        if (!leader.equals(mLeader)) {
            askCapabilities(leader);
        }
        mLeader = leader;
        mLocalScheduler.configureStandalone(entryCount, mSelf.hashCode());
        // Before any request, so that a new leader doesn't place it against a limit.
        mLocalScheduler.limits().forEach(limit -> send(leader, new PlacementEvent.Limited(limit)));
        for (TrackedRequest tracked : List.copyOf(mRequests.values())) {
            PlacementAction.Grant grant = tracked.mGrant;
            if (grant == null) {
                mLocalScheduler.withdraw(tracked.mRequest.key());
                submitToLeader(leader, tracked);
            } else {
                tracked.mScheduler = leader;
                notifyScheduler(
                        tracked,
                        new PlacementEvent.Running(
                                tracked.mRequest,
                                grant.grant().upstream(),
                                tracked.mStarted,
                                tracked.mGrantedNanos));
            }
        }
    }

    private void askCapabilities(InstanceId leader) {
        mCapabilities = PeerCapabilities.NONE;
        mLink.request(leader, FrameType.CAPABILITIES, NO_CONTENT, CAPABILITIES_TIMEOUT_NANOS)
                .thenAccept(
                        response ->
                                mExecutor.execute(
                                        () -> {
                                            if (leader.equals(mLeader)) {
                                                mCapabilities =
                                                        response.map(PeerCapabilities::decode)
                                                                .getOrElse(PeerCapabilities.NONE);
                                                reportHelpers(leader);
                                            }
                                        }));
    }

    /** Reports to a new leader which engines hold memory for requests that it did not place. */
    private void reportHelpers(InstanceId leader) {
        if (mCapabilities.helperMemory()) {
            for (TrackedRequest tracked : mRequests.values()) {
                PlacementAction.Grant grant = tracked.mGrant;
                if (grant != null && !grant.grant().helpers().isEmpty()) {
                    send(leader, new PlacementEvent.Helped(grant.key(), grant.grant().helpers()));
                }
            }
        }
    }

    void clearLeader() {
        mLeader = null;
        mLeaderLostNanos = mClocks.nowNanos();
        List<TrackedRequest> waiting =
                mRequests.values().stream()
                        .filter(tracked -> tracked.mGrant == null && tracked.mScheduler != null)
                        .toList();
        waiting.forEach(this::submitLocally);
        decideLocally();
    }

    void tick(long nowNanos) {
        if (mLocalScheduler.waitingCount() > 0) {
            decideLocally();
        }
        mLocalScheduler.removeSilentUpstreams(nowNanos);
        if (mLeader == null) {
            reportVerdicts(nowNanos);
        }
    }

    // PlacementPort.

    @Override
    public PlacementKey newKey() {
        mLastKeyNumber++;
        return new PlacementKey(mSelf, mLastKeyNumber);
    }

    @Override
    public void submit(PlacementRequest request, Consumer<PlacementAction> callback) {
        TrackedRequest tracked = new TrackedRequest(request, callback);
        mRequests.put(request.key(), tracked);
        InstanceId leader = mLeader;
        if (leader == null) {
            submitLocally(tracked);
            decideLocally();
        } else if (isQuarantined(request)) {
            applyDecision(
                    tracked,
                    new PlacementAction.Reject(
                            request.key(), PlacementRefusal.QUARANTINED, NO_RETRY));
        } else {
            submitToLeader(leader, tracked);
        }
    }

    @Override
    public void withdraw(PlacementKey key) {
        TrackedRequest tracked = mRequests.remove(key);
        if (tracked != null) {
            notifyScheduler(tracked, new PlacementEvent.Withdrawn(key));
            mLocalScheduler.withdraw(key);
        }
    }

    @Override
    public void recordFirstEvent(PlacementKey key) {
        TrackedRequest tracked = mRequests.get(key);
        if (tracked != null) {
            tracked.mStarted = true;
            notifyScheduler(tracked, new PlacementEvent.Started(key));
            mLocalScheduler.recordFirstEvent(key, mClocks.nowNanos());
        }
    }

    @Override
    public void recordLateEvent(PlacementKey key, long gapMillis) {
        TrackedRequest tracked = mRequests.get(key);
        if (tracked != null) {
            notifyScheduler(tracked, new PlacementEvent.Delayed(key, gapMillis));
            mLocalScheduler.recordLateEvent(key, gapMillis, mClocks.nowNanos());
        }
    }

    @Override
    public void recordSilence(PlacementKey key) {
        TrackedRequest tracked = mRequests.get(key);
        if (tracked != null) {
            notifyScheduler(tracked, new PlacementEvent.Silent(key));
            mLocalScheduler.recordSilence(key, mClocks.nowNanos());
        }
    }

    @Override
    public void recordLimit(UpstreamId upstream, LimitNotice notice, long sentNanos) {
        switch (notice) {
            case LimitNotice.Named named -> {
                UpstreamLimit limit = new UpstreamLimit(upstream, named.perSecond(), sentNanos);
                if (mLocalScheduler.recordLimit(
                        upstream, named.perSecond(), sentNanos, mClocks.nowNanos())) {
                    LOG.info("upstream_limit_heard", "upstream", upstream, "limit", notice);
                }
                InstanceId leader = mLeader;
                if (leader != null) {
                    send(leader, new PlacementEvent.Limited(limit));
                }
            }
            case LimitNotice.Unreadable _ ->
                    LOG.warn("upstream_limit_unreadable", "upstream", upstream, "limit", notice);
            // The schedulers see it when the response has ended, and none was named since its
            // grant.
            case LimitNotice.None _ -> {}
        }
    }

    @Override
    public void ended(PlacementKey key, PlacementOutcome outcome, String culprit, long events) {
        TrackedRequest tracked = mRequests.remove(key);
        if (tracked != null) {
            if (mCapabilities.placementDetails()) {
                notifyScheduler(tracked, new PlacementEvent.Measured(key, events));
            }
            mLocalScheduler.recordEventCount(key, events, mClocks.nowNanos());
            notifyScheduler(tracked, new PlacementEvent.Ended(key, outcome, culprit));
            mLocalScheduler.ended(key, outcome, culprit, mClocks.nowNanos());
            decideLocally();
        }
    }

    // Helpers.

    private boolean isQuarantined(PlacementRequest request) {
        return mQuarantine
                .findQuarantined(request.sharedParts(), LOCAL_REJECTION_NANOS, mClocks.nowNanos())
                .isPresent();
    }

    /**
     * Reports to the directory what the local scheduler has in quarantine. Crashes from before the
     * loss of the leader were judged by it, with the answers that other entry instances received.
     */
    private void reportVerdicts(long nowNanos) {
        long aloneMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - mLeaderLostNanos);
        List<QuarantinedPart> parts =
                mLocalScheduler.quarantinedParts(nowNanos).stream()
                        .filter(part -> part.ageMillis() <= aloneMillis)
                        .toList();
        mQuarantine.add(
                parts, mLocalScheduler.crashes().repeated(nowNanos), nowNanos, mClocks.nowMillis());
    }

    private void submitLocally(TrackedRequest tracked) {
        tracked.mScheduler = null;
        mLocalScheduler.submit(tracked.mRequest, mClocks.nowNanos());
    }

    private void submitToLeader(InstanceId leader, TrackedRequest tracked) {
        long nowNanos = mClocks.nowNanos();
        tracked.mScheduler = leader;
        long timeoutNanos =
                Math.max(0, tracked.mRequest.latestStartNanos() - nowNanos) + RESPONSE_MARGIN_NANOS;
        CompletionStage<Either<TransportFailure, Bytes>> response =
                mLink.request(
                        leader,
                        FrameType.PLACE,
                        PlacementCodec.encode(
                                tracked.mRequest, mCapabilities.placementDetails(), nowNanos),
                        timeoutNanos);
        response.thenAccept(
                content -> mExecutor.execute(() -> handleLeaderResponse(leader, tracked, content)));
    }

    private void handleLeaderResponse(
            InstanceId leader, TrackedRequest tracked, Either<TransportFailure, Bytes> content) {
        PlacementKey key = tracked.mRequest.key();
        Optional<PlacementAction> action =
                content.toOption()
                        .flatMap(
                                bytes ->
                                        PlacementCodec.decodeAction(key, bytes)
                                                .peekLeft(
                                                        fault ->
                                                                LOG.failure(
                                                                        "frame_malformed", fault))
                                                .toOption())
                        .toJavaOptional()
                        .flatMap(Function.identity());
        boolean awaited =
                mRequests.get(key) == tracked
                        && tracked.mGrant == null
                        && leader.equals(tracked.mScheduler);
        if (!awaited) {
            if (action.isPresent() && action.get() instanceof PlacementAction.Grant) {
                // The request was placed elsewhere in the meantime; frees the leader's slot.
                send(leader, new PlacementEvent.Ended(key, PlacementOutcome.CANCELLED, ""));
            }
            return;
        }
        if (action.isEmpty()) {
            LOG.info(
                    "placement_unanswered",
                    "request",
                    tracked.mRequest.requestId(),
                    "leader",
                    leader,
                    "failure",
                    content.fold(TransportFailure::code, none -> "not_leading"));
            submitLocally(tracked);
            decideLocally();
            return;
        }
        if (action.get() instanceof PlacementAction.Grant grant) {
            long nowNanos = mClocks.nowNanos();
            mLocalScheduler.registerRunning(
                    tracked.mRequest, grant.grant().upstream(), false, nowNanos, nowNanos);
            mLocalScheduler.registerHelpers(key, grant.grant().helpers(), nowNanos);
        }
        applyDecision(tracked, action.get());
    }

    private void decideLocally() {
        for (PlacementAction action : new ArrayList<>(mLocalScheduler.decide(mClocks.nowNanos()))) {
            TrackedRequest tracked = mRequests.get(action.key());
            if (tracked != null && tracked.mGrant == null) {
                applyDecision(tracked, action);
            }
        }
        mLocalScheduler
                .drainLiftedLimits()
                .forEach(upstream -> LOG.info("upstream_limit_ended", "upstream", upstream));
        List<CrashEvent> crashEvents = mLocalScheduler.drainCrashEvents();
        if (mLeader == null) {
            crashEvents.forEach(CrashEventLog::log);
        }
    }

    private void applyDecision(TrackedRequest tracked, PlacementAction action) {
        switch (action) {
            case PlacementAction.Grant grant -> {
                tracked.mGrant = grant;
                tracked.mGrantedNanos = mClocks.nowNanos();
            }
            case PlacementAction.Reject _ -> mRequests.remove(action.key());
        }
        tracked.mCallback.accept(action);
    }

    private void notifyScheduler(TrackedRequest tracked, PlacementEvent event) {
        InstanceId scheduler = tracked.mScheduler;
        if (scheduler != null && scheduler.equals(mLeader)) {
            send(scheduler, event);
        }
    }

    private void send(InstanceId leader, PlacementEvent event) {
        mLink.send(
                        leader,
                        FrameType.PLACEMENT_EVENT,
                        PlacementEvent.encode(
                                event, mCapabilities.placementDetails(), mClocks.nowNanos()))
                .peek(failure -> LOG.failure("placement_event_lost", failure, "leader", leader));
    }
}
