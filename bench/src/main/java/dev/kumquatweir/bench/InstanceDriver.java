package dev.kumquatweir.bench;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.dispatch.DispatchAction;
import dev.kumquatweir.policy.dispatch.Dispatcher;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One instance: hands arrivals to its dispatcher, carries out what it orders, and checks what the
 * callers get. Messages to and from upstreams take the time that their failure domains imply.
 */
final class InstanceDriver {
    private static final class Open {
        private final Outcome mOutcome;
        private @Nullable AttemptId mCurrent;

        private Open(Outcome outcome) {
            mOutcome = outcome;
        }
    }

    private final int mNumber;
    private final Simulation mSimulation;
    private final Measures mMeasures;
    private final Deployment mDeployment;
    private final Dispatcher mDispatcher;
    private final Map<UpstreamId, Upstream> mUpstreams;
    private final Map<FailureDomain, Long> mOutSince;
    private final Map<RequestId, Open> mOpen = new HashMap<>();

    InstanceDriver(
            int number, World world, Dispatcher dispatcher, Map<FailureDomain, Long> outSince) {
        mNumber = number;
        mSimulation = world.simulation();
        mMeasures = world.measures();
        mDeployment = world.deployment();
        mUpstreams = world.upstreams();
        mDispatcher = dispatcher;
        mOutSince = outSince;
    }

    /** Returns the dispatcher. */
    Dispatcher dispatcher() {
        return mDispatcher;
    }

    /** Returns the number of requests that have not ended. */
    int open() {
        return mOpen.size();
    }

    /** Takes a request from a caller. */
    void arrive(Arrival arrival) {
        Outcome outcome = mMeasures.begin(arrival);
        Either<RequestFailure, Void> admitted =
                mDispatcher.admit(arrival.request(), mSimulation.now());
        if (admitted.isLeft()) {
            outcome.mFailure = admitted.getLeft();
        } else {
            outcome.mAdmitted = true;
            mOpen.put(arrival.requestId(), new Open(outcome));
        }
        act();
    }

    /** Carries out what the dispatcher orders now. */
    void act() {
        for (DispatchAction action : mDispatcher.pollActions(mSimulation.now())) {
            switch (action) {
                case DispatchAction.Start start -> start(start);
                case DispatchAction.Cancel cancel -> cancel(cancel);
                case DispatchAction.Fail fail -> fail(fail);
            }
        }
    }

    private void start(DispatchAction.Start start) {
        Open open = mOpen.get(start.request());
        Upstream upstream = mUpstreams.get(start.upstream());
        if (open == null || upstream == null) {
            throw new IllegalStateException("a start for an unknown request or upstream: " + start);
        }
        Outcome outcome = open.mOutcome;
        if (start.resumeOffset() != outcome.mTokens) {
            mMeasures.violated(Measures.Invariant.TOKENS, start.toString());
        }
        open.mCurrent = start.attempt();
        outcome.mStarts++;
        FailureDomain domain = upstream.announcement().domain();
        long latency = latency(domain);
        List<EngineFake> partners =
                start.partners().stream().map(id -> (EngineFake) mUpstreams.get(id)).toList();
        Job job =
                new Job(
                        start.attempt(),
                        mNumber,
                        outcome.mArrival,
                        start.resumeOffset(),
                        start.priority(),
                        partners,
                        new Answers(start, open, latency));
        checkDomain(domain);
        mSimulation.after(latency, () -> upstream.start(job));
    }

    private void checkDomain(FailureDomain domain) {
        Long since = mOutSince.get(domain);
        if (since != null && mSimulation.now() - since > Schedule.DOMAIN_OUT_NANOS) {
            mMeasures.violated(Measures.Invariant.DOMAIN_OUT, domain.value());
        }
    }

    private void cancel(DispatchAction.Cancel cancel) {
        Open open = mOpen.get(cancel.request());
        if (open != null && cancel.attempt().equals(open.mCurrent)) {
            open.mCurrent = null;
        }
        Upstream upstream = mUpstreams.get(cancel.upstream());
        if (upstream != null) {
            long latency = latency(upstream.announcement().domain());
            mSimulation.after(latency, () -> upstream.cancel(cancel.attempt()));
        }
    }

    private void fail(DispatchAction.Fail fail) {
        Open open = mOpen.remove(fail.request());
        if (open == null) {
            return;
        }
        open.mOutcome.mFailure = fail.failure();
        if (mSimulation.now() > open.mOutcome.mArrival.deadlineNanos()) {
            mMeasures.violated(Measures.Invariant.ENDS_IN_TIME, fail.request().value());
        }
    }

    private long latency(FailureDomain domain) {
        return domain.equals(mDeployment.instanceDomain(mNumber))
                ? Deployment.SAME_DOMAIN_NANOS
                : mDeployment.crossDomainNanos();
    }

    /** Brings the answers of one attempt to the instance. */
    private final class Answers implements Job.Listener {
        private final DispatchAction.Start mStart;
        private final Open mRequest;
        private final long mLatency;

        private Answers(DispatchAction.Start start, Open request, long latency) {
            mStart = start;
            mRequest = request;
            mLatency = latency;
        }

        @Override
        public void accepted() {
            later(() -> observe(new AttemptEvent.Accepted(mStart.attempt())));
        }

        @Override
        public void refused(AttemptEvent.RefusalReason reason) {
            later(() -> observe(new AttemptEvent.Refused(mStart.attempt(), reason)));
        }

        @Override
        public void token(long tokens) {
            later(() -> receive(tokens));
        }

        @Override
        public void finished(long tokens, long cachedTokens) {
            later(() -> end(tokens, cachedTokens));
        }

        @Override
        public void broken() {
            AttemptEvent.BreakCause how = AttemptEvent.BreakCause.CONNECTION_LOST;
            later(() -> observe(new AttemptEvent.Broken(mStart.attempt(), how)));
        }

        private void later(Runnable task) {
            mSimulation.after(
                    mLatency,
                    () -> {
                        if (mStart.attempt().equals(mRequest.mCurrent)) {
                            task.run();
                        }
                    });
        }

        private void observe(AttemptEvent event) {
            mDispatcher.handleEvent(event, mSimulation.now());
            act();
        }

        private void receive(long tokens) {
            Outcome outcome = mRequest.mOutcome;
            long now = mSimulation.now() + mDeployment.callerNanos();
            if (tokens != outcome.mTokens + 1) {
                mMeasures.violated(Measures.Invariant.TOKENS, mStart.request().value());
            }
            outcome.mTokens = tokens;
            if (outcome.mFirstTokenNanos < 0) {
                outcome.mFirstTokenNanos = now;
            } else {
                mMeasures.gap(now - outcome.mLastTokenNanos);
            }
            outcome.mLastTokenNanos = now;
            observe(new AttemptEvent.Progress(mStart.attempt(), tokens));
        }

        private void end(long tokens, long cachedTokens) {
            Outcome outcome = mRequest.mOutcome;
            Arrival arrival = outcome.mArrival;
            mOpen.remove(mStart.request());
            mRequest.mCurrent = null;
            outcome.mFinishedNanos = mSimulation.now() + mDeployment.callerNanos();
            if (arrival.model() != null && outcome.mTokens != arrival.outputTokens()) {
                mMeasures.violated(Measures.Invariant.TOKENS, mStart.request().value());
            }
            if (mSimulation.now() > arrival.deadlineNanos()) {
                mMeasures.violated(Measures.Invariant.ENDS_IN_TIME, mStart.request().value());
            }
            observe(new AttemptEvent.Finished(mStart.attempt(), tokens, cachedTokens));
        }
    }
}
