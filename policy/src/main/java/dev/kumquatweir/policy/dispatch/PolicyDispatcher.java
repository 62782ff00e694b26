package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.admission.AdmissionControl;
import dev.kumquatweir.policy.admission.OutputEstimate;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRegistry;
import dev.kumquatweir.policy.routing.AttemptReservation;
import dev.kumquatweir.policy.routing.ColdAllowance;
import dev.kumquatweir.policy.routing.Fleet;
import dev.kumquatweir.policy.routing.LocalColdAllowance;
import dev.kumquatweir.policy.routing.Pool;
import dev.kumquatweir.policy.routing.PrefixIndex;
import dev.kumquatweir.policy.routing.Router;
import dev.kumquatweir.policy.routing.RoutingOptions;
import dev.kumquatweir.policy.routing.UpstreamLoad;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Default {@link Dispatcher}. Admits requests that can finish before their deadline, keeps them in
 * fair queues, places them on upstreams and recovers from failed attempts. Created by {@link
 * #builder}.
 *
 * <p>Not thread-safe: owned by the dispatch duty.
 */
public final class PolicyDispatcher implements Dispatcher {
    private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Interval at which queued work is retried even if no event indicates free capacity. */
    private static final long SERVE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Map<RequestId, TrackedRequest> mRequests = new HashMap<>();
    private final DeadlineQueue mDeadlines = new DeadlineQueue();
    private final List<DispatchAction> mPendingActions = new ArrayList<>();
    private final AdmissionControl mAdmission = new AdmissionControl();
    private final PrefixIndex mPrefixes = new PrefixIndex();
    private final WorkQueues mQueues = new WorkQueues();
    private final RateLearner mRateLearner = new RateLearner();
    private final WaitingCheck mWaitingCheck = new WaitingCheck(mAdmission, mRateLearner);
    private final Fleet mFleet;
    private final ColdAllowance mColdAllowance;
    private final RecoveryPolicy mRecovery;
    private final Placer mPlacer;
    private final AttemptTracker mAttempts;
    private final SuspectQueue mSuspects;
    private ConfigurationDocument mDocument = ConfigurationDocument.EMPTY;
    private long mLastCheckNanos = Long.MIN_VALUE;
    private long mLastServeNanos = Long.MIN_VALUE;
    private boolean mCapacityChanged = true;

    private PolicyDispatcher(Builder builder) {
        mFleet = new Fleet(new UpstreamRegistry(), builder.mRouting.strategy());
        mColdAllowance = builder.mColdAllowance;
        mRecovery = builder.mRecovery;
        Router router = new Router(mFleet, mPrefixes, mColdAllowance, builder.mRouting);
        mPlacer = new Placer(router, mColdAllowance, builder.mAttemptIds);
        mAttempts = new AttemptTracker(mRecovery, mPlacer, mQueues, mRateLearner);
        mSuspects = new SuspectQueue(mRecovery, mFleet, mPlacer);
    }

    /**
     * Returns a builder for a dispatcher with {@link SimpleRecovery} that uses the whole cold limit
     * of each upstream.
     *
     * @param attemptIds generates the attempt ids
     * @param routing routing settings
     */
    public static Builder builder(AttemptIds attemptIds, RoutingOptions routing) {
        return new Builder(attemptIds, routing);
    }

    @Override
    public void configure(ConfigurationDocument document, long nowNanos) {
        mDocument = document;
        mQueues.configure(document);
        mFleet.configure(document);
        mCapacityChanged = true;
    }

    @Override
    public void upstreamAnnounced(Announcement announcement, long nowNanos) {
        mCapacityChanged = true;
        UpstreamLoad former = mFleet.announced(announcement, nowNanos);
        if (former != null) {
            handleTermination(former, nowNanos);
        }
    }

    @Override
    public boolean loadReported(LoadReport load, long nowNanos) {
        mCapacityChanged = true;
        boolean known = mFleet.reported(load, nowNanos);
        UpstreamLoad upstream = mFleet.find(load.id());
        if (upstream != null && load.equals(upstream.state().load())) {
            mRecovery.upstreamAlive(
                    new UpstreamIncarnation(load.id(), load.incarnation()), nowNanos);
        }
        if (upstream != null && upstream.cold()) {
            moveExcessWork(upstream, nowNanos);
        }
        return known;
    }

    @Override
    public boolean cacheChanged(CacheEvents events, long nowNanos) {
        return mPrefixes.apply(events);
    }

    @Override
    public void upstreamLeft(UpstreamId upstream, long incarnation, long nowNanos) {
        mRecovery.upstreamLeaving(new UpstreamIncarnation(upstream, incarnation), nowNanos);
        mFleet.left(upstream, incarnation);
    }

    @Override
    public Either<RequestFailure, Void> admit(WorkRequest request, long nowNanos) {
        Optional<RequestFailure> refusal = refusal(request, nowNanos);
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        Pool pool = mFleet.pool(request.profile().service(), request.model(), nowNanos);
        OutputEstimate output = mRateLearner.output(request);
        AdmissionControl.LoadEstimate outlook =
                new AdmissionControl.LoadEstimate(
                        mRateLearner.rates(request.profile().service()),
                        mPrefixes.cachedTokens(request.prefixHashes(), request.promptTokens()),
                        output.upperEstimate(request.maximumOutputTokens()),
                        mQueues.queueNanos(request, nowNanos));
        Either<RequestFailure, Void> decision =
                mAdmission
                        .decide(request, pool, outlook, nowNanos)
                        .flatMap(none -> room(request, outlook, nowNanos));
        if (decision.isRight()) {
            long expected = output.expected(request.maximumOutputTokens());
            TrackedRequest tracked = new TrackedRequest(request, expected);
            mRequests.put(request.id(), tracked);
            mDeadlines.add(tracked);
            mRecovery.admitted(request, nowNanos);
            mQueues.add(tracked, nowNanos);
            mCapacityChanged = true;
        }
        return decision;
    }

    @Override
    public void handleEvent(AttemptEvent event, long nowNanos) {
        if (event instanceof AttemptEvent.CallerDisconnected gone) {
            callerDisconnected(gone.request(), nowNanos);
            return;
        }
        TrackedRequest tracked = mAttempts.find(event);
        if (tracked != null) {
            applyOutcome(tracked, mAttempts.observed(tracked, event, nowNanos), nowNanos);
        }
    }

    @Override
    public List<DispatchAction> pollActions(long nowNanos) {
        failOverdue(nowNanos);
        if (mLastCheckNanos == Long.MIN_VALUE
                || nowNanos - mLastCheckNanos >= CHECK_INTERVAL_NANOS) {
            mLastCheckNanos = nowNanos;
            check(nowNanos);
        }
        // Most calls follow a token of a running answer, which frees no capacity.
        if (mCapacityChanged
                || mLastServeNanos == Long.MIN_VALUE
                || nowNanos - mLastServeNanos >= SERVE_INTERVAL_NANOS) {
            mCapacityChanged = false;
            mLastServeNanos = nowNanos;
            mSuspects.due(nowNanos).forEach(tracked -> offerSuspect(tracked, nowNanos));
            mQueues.serve(tracked -> place(tracked, nowNanos), nowNanos);
        }
        List<DispatchAction> actions = List.copyOf(mPendingActions);
        mPendingActions.clear();
        return actions;
    }

    /** Returns the number of admitted requests that have not ended. */
    public int openRequests() {
        return mRequests.size();
    }

    /** Returns the KV cache memory that this instance has reserved on all upstreams, in tokens. */
    public long reservedTokens() {
        return mFleet.all().stream()
                .flatMap(load -> load.reservations().stream())
                .mapToLong(AttemptReservation::memoryTokens)
                .sum();
    }

    private Optional<RequestFailure> refusal(WorkRequest request, long nowNanos) {
        if (!mDocument.profiles().containsKey(request.profile().name())) {
            String name = request.profile().name().value();
            return Optional.of(new RequestFailure.UnknownName("profile", name));
        }
        if (request.model() != null
                && !request.profile().models().contains(request.model())
                && !mFleet.knowsModel(request.profile().service(), request.model())) {
            String name = request.model().value();
            return Optional.of(new RequestFailure.UnknownName("model", name));
        }
        return mRecovery.refusal(request, nowNanos);
    }

    /** Makes room in a full queue by shedding the least urgent work. */
    private Either<RequestFailure, Void> room(
            WorkRequest request, AdmissionControl.LoadEstimate outlook, long nowNanos) {
        if (!mQueues.full(request)) {
            return Either.right(null);
        }
        RequestFailure overloaded = AdmissionControl.overloaded(outlook.queueNanos());
        TrackedRequest victim = mQueues.victim(request);
        if (victim == null) {
            return Either.left(overloaded);
        }
        fail(victim, overloaded, nowNanos);
        return Either.right(null);
    }

    private boolean place(TrackedRequest tracked, long nowNanos) {
        if (mSuspects.takes(tracked, nowNanos)) {
            mQueues.remove(tracked, nowNanos);
            if (!mSuspects.add(tracked, nowNanos)) {
                fail(tracked, AdmissionControl.overloaded(0), nowNanos);
            }
            return false;
        }
        DispatchAction start =
                mPlacer.place(tracked, mRecovery.reservedUpstreams(nowNanos), nowNanos);
        return start != null && started(tracked, start, false, nowNanos);
    }

    private boolean started(
            TrackedRequest tracked, DispatchAction start, boolean alone, long nowNanos) {
        if (tracked.mCurrent == null) {
            return false;
        }
        mAttempts.started(tracked, tracked.mCurrent, alone, nowNanos);
        return mPendingActions.add(start);
    }

    private void offerSuspect(TrackedRequest tracked, long nowNanos) {
        switch (mSuspects.offer(tracked, nowNanos)) {
            case SuspectQueue.Step.KeepWaiting waits -> {
                // Offered again by a later call.
            }
            case SuspectQueue.Step.Queues queues -> mQueues.requeue(tracked, true, nowNanos);
            case SuspectQueue.Step.Starts starts ->
                    started(tracked, starts.action(), true, nowNanos);
            case SuspectQueue.Step.Fails fails -> fail(tracked, fails.failure(), nowNanos);
        }
    }

    private void applyOutcome(
            TrackedRequest tracked, AttemptTracker.Outcome toOutcome, long nowNanos) {
        switch (toOutcome) {
            case AttemptTracker.Outcome.Running running -> {
                mCapacityChanged |= running.firstToken();
                return;
            }
            case AttemptTracker.Outcome.Requeue again ->
                    mQueues.requeue(tracked, again.ran(), nowNanos);
            case AttemptTracker.Outcome.Done done -> removeRequest(tracked);
            case AttemptTracker.Outcome.Failed failed -> fail(tracked, failed.failure(), nowNanos);
        }
        mCapacityChanged = true;
    }

    private void breakAttempt(
            TrackedRequest tracked,
            RunningAttempt attempt,
            AttemptEvent.BreakCause how,
            long nowNanos) {
        applyOutcome(tracked, mAttempts.broken(tracked, attempt, how, nowNanos), nowNanos);
    }

    private void callerDisconnected(RequestId id, long nowNanos) {
        TrackedRequest tracked = mRequests.get(id);
        if (tracked != null) {
            withdraw(tracked, nowNanos);
            removeRequest(tracked);
            mCapacityChanged = true;
        }
    }

    private void fail(TrackedRequest tracked, RequestFailure failure, long nowNanos) {
        withdraw(tracked, nowNanos);
        removeRequest(tracked);
        mPendingActions.add(new DispatchAction.Fail(tracked.mRequest.id(), failure));
    }

    /** Removes a request from its queue and cancels its attempt. */
    private void withdraw(TrackedRequest tracked, long nowNanos) {
        mQueues.remove(tracked, nowNanos);
        mSuspects.remove(tracked);
        if (tracked.mCurrent != null) {
            cancel(tracked, tracked.mCurrent, nowNanos);
        }
    }

    private void cancel(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        tracked.mMayHaveRun = true;
        UpstreamId upstream = attempt.mPlacement.upstream().state().announcement().id();
        mPendingActions.add(
                new DispatchAction.Cancel(tracked.mRequest.id(), attempt.mId, upstream));
        mAttempts.abandon(tracked, attempt, nowNanos);
    }

    private void removeRequest(TrackedRequest tracked) {
        tracked.mEnded = true;
        mRequests.remove(tracked.mRequest.id());
    }

    private void failOverdue(long nowNanos) {
        TrackedRequest next = mDeadlines.pollOverdue(nowNanos);
        while (next != null) {
            fail(next, new RequestFailure.DeadlineExceeded(next.ran()), nowNanos);
            next = mDeadlines.pollOverdue(nowNanos);
        }
    }

    private void check(long nowNanos) {
        mFleet.expire(nowNanos).forEach(silent -> handleTermination(silent, nowNanos));
        mRecovery.expire(nowNanos);
        for (TrackedRequest tracked : mAttempts.running()) {
            RunningAttempt attempt = tracked.mCurrent;
            if (attempt != null
                    && tracked.mRequest.repeatable()
                    && SilenceCheck.silent(attempt, nowNanos)) {
                cancelUpstream(tracked, attempt);
                breakAttempt(tracked, attempt, AttemptEvent.BreakCause.SILENT, nowNanos);
            }
        }
        mQueues.waiting().forEach(tracked -> checkWaiting(tracked, nowNanos));
    }

    private void checkWaiting(TrackedRequest tracked, long nowNanos) {
        switch (mWaitingCheck.check(tracked, nowNanos)) {
            case WaitingCheck.Verdict.KeepWaiting waits -> {
                // Checked again at the next interval.
            }
            case WaitingCheck.Verdict.Urgent urgent ->
                    mQueues.changeUrgency(tracked, TrackedRequest.URGENT, nowNanos);
            case WaitingCheck.Verdict.CannotFinish hopeless ->
                    fail(tracked, hopeless.failure(), nowNanos);
        }
    }

    private void cancelUpstream(TrackedRequest tracked, RunningAttempt attempt) {
        UpstreamId upstream = attempt.mPlacement.upstream().state().announcement().id();
        mPendingActions.add(
                new DispatchAction.Cancel(tracked.mRequest.id(), attempt.mId, upstream));
    }

    /**
     * Breaks off all attempts on a terminated upstream, including those that only use its memory.
     */
    private void handleTermination(UpstreamLoad gone, long nowNanos) {
        Announcement announcement = gone.state().announcement();
        mPrefixes.forget(announcement.id());
        UpstreamIncarnation death =
                new UpstreamIncarnation(announcement.id(), announcement.incarnation());
        mRecovery.upstreamTerminated(death, announcement.domain(), nowNanos);
        for (TrackedRequest tracked : mAttempts.using(gone)) {
            RunningAttempt attempt = tracked.mCurrent;
            if (attempt != null) {
                if (!attempt.mPlacement.partners().isEmpty()) {
                    cancelUpstream(tracked, attempt);
                }
                breakAttempt(tracked, attempt, AttemptEvent.BreakCause.UPSTREAM_GONE, nowNanos);
            }
        }
    }

    /** Moves repeatable work in excess of the cold limit away from an upstream that became cold. */
    private void moveExcessWork(UpstreamLoad load, long nowNanos) {
        Announcement announcement = load.state().announcement();
        mPlacer.reportUse(load, nowNanos);
        ColdLimit kept =
                mColdAllowance.retained(
                        announcement.id(),
                        announcement.incarnation(),
                        announcement.coldLimit(),
                        nowNanos);
        for (AttemptReservation hold :
                load.reservationsBeyond(kept.requests(), kept.prefillTokens())) {
            TrackedRequest tracked = mAttempts.find(hold.attempt());
            RunningAttempt attempt = tracked == null ? null : tracked.mCurrent;
            if (tracked != null && attempt != null && tracked.mRequest.repeatable()) {
                cancel(tracked, attempt, nowNanos);
                tracked.mNotBeforeNanos = nowNanos;
                tracked.mAvoidedUpstreams = Set.of(announcement.id());
                mQueues.requeue(tracked, true, nowNanos);
            }
        }
    }

    /** Builds a {@link PolicyDispatcher}. Not thread-safe. */
    public static final class Builder {
        private final AttemptIds mAttemptIds;
        private final RoutingOptions mRouting;
        private ColdAllowance mColdAllowance = new LocalColdAllowance(1, 0);
        private RecoveryPolicy mRecovery = new SimpleRecovery();

        private Builder(AttemptIds attemptIds, RoutingOptions routing) {
            mAttemptIds = attemptIds;
            mRouting = routing;
        }

        /** Sets the share of the cold limits that this instance may use. */
        public Builder coldAllowance(ColdAllowance value) {
            mColdAllowance = value;
            return this;
        }

        /** Sets the policy that decides about failed attempts. */
        public Builder recovery(RecoveryPolicy value) {
            mRecovery = value;
            return this;
        }

        /** Builds the dispatcher. */
        public PolicyDispatcher build() {
            return new PolicyDispatcher(this);
        }
    }
}
