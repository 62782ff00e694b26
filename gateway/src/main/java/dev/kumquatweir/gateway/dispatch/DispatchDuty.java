package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.control.ConfigurationPort;
import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.duty.EventLoop;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.dispatch.DispatchAction;
import dev.kumquatweir.policy.dispatch.Dispatcher;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/**
 * The duty that owns the policy of one instance: hands it requests, reports and what upstream
 * clients see, and carries out its actions. Public methods are thread-safe and never block.
 */
public final class DispatchDuty {
    private static final EventLog LOG = EventLog.of(DispatchDuty.class);
    private static final int RING_CAPACITY = 16_384;

    /** New requests are shed earlier than events of running ones, which must not be lost. */
    private static final int LARGEST_WAITING_FOR_NEW_REQUESTS = RING_CAPACITY / 2;

    private static final long TICK_MILLIS = 10;
    private static final long PROGRESS_TOKENS = 16;

    /** The policy must hear of slow streams too, as it gives up what makes no progress for 1 s. */
    private static final long PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final Dispatcher mDispatcher;
    private final UpstreamCaller mCaller;
    private final ConfigurationPort mConfiguration;
    private final Clocks mClocks;
    private final RequestObserver mObserver;
    private final SilenceWatch mSilence;
    private final EventLoop mDuty;
    private final Map<RequestId, RunningRequest> mRunning = new HashMap<>();
    private final KnownUpstreams mUpstreams = new KnownUpstreams();
    private final AtomicInteger mRunningCount = new AtomicInteger();

    /** Holds at most a few events for each running attempt, since new requests are shed first. */
    private final Queue<Runnable> mOverflow = new ConcurrentLinkedQueue<>();

    private long mConfiguredVersion = -1;
    private boolean mClosed;

    /**
     * Makes a duty that is not yet running.
     *
     * @param dispatcher the policy; owned by this duty from here on
     * @param caller sends attempts
     * @param configuration configuration and lease, checked at the moment of sending
     * @param observer told of the course of each request
     * @param clocks clocks of the process
     */
    public DispatchDuty(
            Dispatcher dispatcher,
            UpstreamCaller caller,
            ConfigurationPort configuration,
            RequestObserver observer,
            Clocks clocks) {
        mObserver = observer;
        mDispatcher = dispatcher;
        mCaller = caller;
        mConfiguration = configuration;
        mClocks = clocks;
        mSilence = new SilenceWatch(clocks.nowNanos());
        mDuty =
                new EventLoop(
                        "dispatch",
                        RING_CAPACITY,
                        TICK_MILLIS,
                        this::tick,
                        (thread, fault) -> LOG.error("dispatch_fault", fault));
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Ends the thread; requests that still run are dropped. */
    public void stop() {
        mDuty.stop();
    }

    /** Returns the number of requests that were admitted and have not ended. */
    public int running() {
        return mRunningCount.get();
    }

    /**
     * Hands in a request. Its exchange is told the end, whatever happens.
     *
     * @param request the request as the policy sees it
     * @param work what to do
     * @param exchange the caller's side
     * @param sendByNanos monotonic time after which it must not be sent any more
     */
    public void submit(WorkRequest request, Work work, Exchange exchange, long sendByNanos) {
        ObservedExchange observed = new ObservedExchange(request, exchange, mObserver, mClocks);
        boolean room = mDuty.queuedTasks() < LARGEST_WAITING_FOR_NEW_REQUESTS;
        if (!room || !mDuty.offer(() -> admit(request, work, observed, sendByNanos))) {
            observed.failed(new RequestFailure.Overloaded(TimeUnit.SECONDS.toMillis(1)));
        }
    }

    /** Tells that the caller of a request has gone and its work is to be cancelled. */
    public void callerGone(RequestId request) {
        run(
                nowNanos -> {
                    RunningRequest running = mRunning.get(request);
                    if (running != null) {
                        cancel(running, new RequestFailure.CallerDisconnected(), nowNanos);
                    }
                });
    }

    /** Fails all requests that still run, because the instance stops, and admits no more. */
    public void failUnfinished() {
        run(
                nowNanos -> {
                    mClosed = true;
                    List.copyOf(mRunning.values())
                            .forEach(running -> cancel(running, running.stopFailure(), nowNanos));
                });
    }

    /** Takes an announcement. */
    public void announced(Announcement announcement) {
        run(nowNanos -> takeAnnouncement(announcement, nowNanos));
    }

    /** Takes a load report; completes with false if the upstream has to announce itself. */
    public CompletionStage<Boolean> reported(LoadReport report) {
        return ask(
                () -> {
                    mUpstreams.heard(report.id(), mClocks.nowNanos());
                    return mDispatcher.loadReported(report, mClocks.nowNanos());
                });
    }

    /** Takes cache events; completes with false if the upstream has to send its whole list. */
    public CompletionStage<Boolean> cacheChanged(CacheEvents events) {
        return ask(() -> mDispatcher.cacheChanged(events, mClocks.nowNanos()));
    }

    /** Takes the word of an upstream that it leaves. */
    public void left(UpstreamId upstream, long incarnation) {
        run(nowNanos -> mDispatcher.upstreamLeft(upstream, incarnation, nowNanos));
    }

    /** Completes with the announcement of an upstream, if it is known here. */
    public CompletionStage<Optional<Announcement>> upstream(UpstreamId id) {
        return ask(() -> mUpstreams.find(id));
    }

    /** Completes with the announcements of all upstreams known here. */
    public CompletionStage<List<Announcement>> upstreams() {
        return ask(mUpstreams::all);
    }

    private void admit(
            WorkRequest request, Work work, ObservedExchange exchange, long sendByNanos) {
        long nowNanos = mClocks.nowNanos();
        takeConfiguration(nowNanos);
        Optional<RequestFailure> refusal = refusal(request, nowNanos);
        if (refusal.isPresent()) {
            exchange.failed(refusal.get());
            return;
        }
        exchange.admitted();
        mRunning.put(request.id(), new RunningRequest(request, work, exchange, sendByNanos));
        mRunningCount.set(mRunning.size());
        carryOut(nowNanos);
    }

    private Optional<RequestFailure> refusal(WorkRequest request, long nowNanos) {
        if (mClosed) {
            return Optional.of(new RequestFailure.Draining());
        }
        if (!mConfiguration.current().inForce(nowNanos)) {
            return Optional.of(new RequestFailure.NoConfigurationLease());
        }
        return mDispatcher
                .admit(request, nowNanos)
                .fold(Optional::of, admitted -> Optional.empty());
    }

    private void tick() {
        for (Runnable task = mOverflow.poll(); task != null; task = mOverflow.poll()) {
            task.run();
        }
        long nowNanos = mClocks.nowNanos();
        takeConfiguration(nowNanos);
        breakSilentAttempts(nowNanos);
        carryOut(nowNanos);
        mUpstreams.forgetSilent(nowNanos);
    }

    private void takeConfiguration(long nowNanos) {
        LeasedConfiguration configuration = mConfiguration.current();
        if (configuration.version() != mConfiguredVersion) {
            mConfiguredVersion = configuration.version();
            mDispatcher.configure(configuration.document(), nowNanos);
            LOG.info("configuration_in_use", "version", mConfiguredVersion);
        }
    }

    private void takeAnnouncement(Announcement announcement, long nowNanos) {
        if (mUpstreams.put(announcement, nowNanos)) {
            mSilence.restarted(announcement.id());
        }
        mDispatcher.upstreamAnnounced(announcement, nowNanos);
        carryOut(nowNanos);
    }

    private void carryOut(long nowNanos) {
        for (DispatchAction action : mDispatcher.pollActions(nowNanos)) {
            switch (action) {
                case DispatchAction.Start start -> startAttempt(start, nowNanos);
                case DispatchAction.Cancel cancel -> cancelAttempt(cancel);
                case DispatchAction.Fail fail -> failRequest(fail);
            }
        }
    }

    private void startAttempt(DispatchAction.Start start, long nowNanos) {
        RunningRequest running = mRunning.get(start.request());
        Announcement upstream = mUpstreams.get(start.upstream());
        if (running == null) {
            return;
        }
        running.begin(start.attempt());
        if (upstream == null
                || !mUpstreams.containsAll(start.partners())
                || !maySend(running, upstream, nowNanos)) {
            running.refused(start.attempt());
            AttemptEvent refused =
                    new AttemptEvent.Refused(start.attempt(), AttemptEvent.RefusalReason.NOT_SENT);
            offerEvent(refused);
            return;
        }
        WorkRequest request = running.request();
        AttemptOrder order =
                new AttemptOrder(
                        start.attempt(),
                        upstream,
                        start.partners().stream().map(mUpstreams::get).toList(),
                        running.work(),
                        List.of(),
                        running.tokens(),
                        running.text(),
                        start.priority(),
                        TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos),
                        request.prefixHashes(),
                        request.repeatable());
        Runnable close = mCaller.start(order, new Listener(running, start.attempt()));
        running.opened(start.attempt(), close);
        mSilence.started(running, start.attempt(), upstream.id(), nowNanos);
    }

    /** The last check before the first byte goes upstream. */
    private boolean maySend(RunningRequest running, Announcement upstream, long nowNanos) {
        LeasedConfiguration configuration = mConfiguration.current();
        return configuration.inForce(nowNanos)
                && configuration.document().mayReceiveWork(upstream.id(), upstream.domain())
                && running.maySend(nowNanos);
    }

    private void cancelAttempt(DispatchAction.Cancel cancel) {
        RunningRequest running = mRunning.get(cancel.request());
        if (running != null) {
            running.abandon(cancel.attempt());
        }
        Announcement upstream = mUpstreams.get(cancel.upstream());
        if (upstream != null) {
            mCaller.cancel(upstream, cancel.attempt());
        }
    }

    private void failRequest(DispatchAction.Fail fail) {
        RunningRequest running = mRunning.get(fail.request());
        if (running != null) {
            running.failed(fail.failure());
            remove(fail.request());
        }
    }

    /** Connections are replaced first, so that cancels and new attempts go on new ones. */
    private void breakSilentAttempts(long nowNanos) {
        SilenceWatch.Findings findings = mSilence.check(nowNanos);
        for (UpstreamId upstream : findings.doubtful()) {
            mUpstreams.find(upstream).ifPresent(mCaller::replaceConnections);
        }
        findings.silent().forEach((attempt, upstream) -> breakSilent(upstream, attempt, nowNanos));
    }

    /** Cancels the attempt, so that its engine frees the memory, and tells the policy. */
    private void breakSilent(UpstreamId upstream, AttemptId attempt, long nowNanos) {
        Announcement announcement = mUpstreams.get(upstream);
        if (announcement != null) {
            mCaller.cancel(announcement, attempt);
        }
        mDispatcher.handleEvent(
                new AttemptEvent.Broken(attempt, AttemptEvent.BreakCause.SILENT), nowNanos);
    }

    /** Ends a request and what runs for it on upstreams. */
    private void cancel(RunningRequest running, RequestFailure failure, long nowNanos) {
        RequestId request = running.request().id();
        running.failed(failure);
        mDispatcher.handleEvent(new AttemptEvent.CallerDisconnected(request), nowNanos);
        carryOut(nowNanos);
        remove(request);
    }

    private void remove(RequestId request) {
        mRunning.remove(request);
        mRunningCount.set(mRunning.size());
    }

    private void offerEvent(AttemptEvent event) {
        run(
                nowNanos -> {
                    mDispatcher.handleEvent(event, nowNanos);
                    carryOut(nowNanos);
                });
    }

    /** Runs a task that must not be lost: it waits for the next tick if the ring is full. */
    public void run(LongConsumer task) {
        Runnable timed = () -> task.accept(mClocks.nowNanos());
        if (!mDuty.offer(timed)) {
            mOverflow.add(timed);
        }
    }

    private <T> CompletionStage<T> ask(Supplier<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        boolean taken =
                mDuty.offer(
                        () -> {
                            answer.complete(question.get());
                            carryOut(mClocks.nowNanos());
                        });
        if (!taken) {
            answer.completeExceptionally(
                    new FailureException(
                            new RequestFailure.Overloaded(TimeUnit.SECONDS.toMillis(1))));
        }
        return answer;
    }

    /** Passes what the client of one attempt sees to the request and to the policy. */
    private final class Listener implements AttemptListener {
        private final RunningRequest mRequest;
        private final AttemptId mAttempt;
        private long mProgressNanos;

        Listener(RunningRequest request, AttemptId attempt) {
            mRequest = request;
            mAttempt = attempt;
        }

        @Override
        public void accepted() {
            offerEvent(new AttemptEvent.Accepted(mAttempt));
        }

        @Override
        public void token(long index, String text) {
            long nowNanos = mClocks.nowNanos();
            if (!mRequest.token(mAttempt, index, text, nowNanos)) {
                broken(AttemptEvent.BreakCause.UPSTREAM_ERROR);
            } else if (index % PROGRESS_TOKENS == 0 || nowNanos - mProgressNanos > PROGRESS_NANOS) {
                mProgressNanos = nowNanos;
                offerEvent(new AttemptEvent.Progress(mAttempt, index + 1));
            }
        }

        @Override
        public void finished(GenerationSummary summary) {
            if (mRequest.finished(mAttempt, summary)) {
                end(
                        new AttemptEvent.Finished(
                                mAttempt, summary.completionTokens(), summary.cachedTokens()));
            } else if (mRequest.isCurrent(mAttempt)) {
                broken(AttemptEvent.BreakCause.UPSTREAM_ERROR);
            }
        }

        @Override
        public void answered(RecordedResponse answer) {
            if (mRequest.answered(mAttempt, answer)) {
                end(new AttemptEvent.Finished(mAttempt, 0, 0));
            }
        }

        @Override
        public void refused(AttemptEvent.RefusalReason reason) {
            mRequest.refused(mAttempt);
            offerEvent(new AttemptEvent.Refused(mAttempt, reason));
        }

        @Override
        public void broken(AttemptEvent.BreakCause how) {
            mRequest.abandon(mAttempt);
            offerEvent(new AttemptEvent.Broken(mAttempt, how));
        }

        private void end(AttemptEvent event) {
            run(
                    nowNanos -> {
                        remove(mRequest.request().id());
                        mDispatcher.handleEvent(event, nowNanos);
                        carryOut(nowNanos);
                    });
        }
    }
}
