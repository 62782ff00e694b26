package dev.kumquatweir.bench;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.dispatch.DispatchAction;
import dev.kumquatweir.policy.dispatch.PolicyDispatcher;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRole;
import dev.kumquatweir.policy.routing.RoutingOptions;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Measures the processor time of one decision by a plain repeated loop: admission, placement, first
 * token and end of one request, with load reports of all upstreams twice a second in virtual time.
 */
final class DecisionCost {
    private static final int DOMAINS = 8;
    private static final int WARM_UP = 100_000;
    private static final int MEASURED = 200_000;
    private static final int OPEN_REQUESTS_PER_UPSTREAM = 4;
    private static final long REQUEST_NANOS = TimeUnit.MICROSECONDS.toNanos(300);
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int[] SIZES = {20, 240, 2_400};

    private final Deployment mDeployment = Deployment.kainBaru();
    private final int mUpstreams;
    private final PolicyDispatcher mDispatcher;
    private final Queue<DispatchAction.Start> mRunning = new ArrayDeque<>();
    private long mNowNanos = 1;
    private long mReports;
    private long mRequests;

    private DecisionCost(int upstreams) {
        mUpstreams = upstreams;
        FailureDomain own = new FailureDomain("d0");
        mDispatcher =
                PolicyDispatcher.builder(
                                new AttemptIds(new InstanceId("cost"), 1),
                                RoutingOptions.of(own, 1))
                        .build();
        mDispatcher.configure(mDeployment.document(), mNowNanos);
        for (int number = 0; number < upstreams; number++) {
            mDispatcher.upstreamAnnounced(announcement(number), mNowNanos);
        }
    }

    /** Measures each size and prints the mean time of one decision. */
    static void run(PrintStream out) {
        for (int upstreams : SIZES) {
            DecisionCost cost = new DecisionCost(upstreams);
            cost.decide(WARM_UP);
            long nanos = cost.decide(MEASURED);
            out.printf(
                    Locale.ROOT,
                    "upstreams=%d decision_micros=%.2f%n",
                    upstreams,
                    nanos / 1_000.0 / MEASURED);
        }
    }

    /** Returns the time spent in the dispatcher, reports apart. */
    private long decide(int count) {
        long spent = 0;
        for (int done = 0; done < count; done++) {
            mNowNanos += REQUEST_NANOS;
            if (mNowNanos / REPORT_NANOS != mReports) {
                mReports = mNowNanos / REPORT_NANOS;
                report();
            }
            WorkRequest request = request();
            long before = System.nanoTime();
            mDispatcher.admit(request, mNowNanos);
            List<DispatchAction> actions = mDispatcher.pollActions(mNowNanos);
            spent += System.nanoTime() - before;
            for (DispatchAction action : actions) {
                if (action instanceof DispatchAction.Start start) {
                    mRunning.add(start);
                    mDispatcher.handleEvent(
                            new AttemptEvent.Progress(start.attempt(), 1), mNowNanos);
                }
            }
            if (mRunning.size() > mUpstreams * OPEN_REQUESTS_PER_UPSTREAM) {
                DispatchAction.Start oldest = mRunning.remove();
                mDispatcher.handleEvent(
                        new AttemptEvent.Finished(oldest.attempt(), 100, 0), mNowNanos);
            }
        }
        return spent;
    }

    private void report() {
        for (int number = 0; number < mUpstreams; number++) {
            mDispatcher.loadReported(
                    new LoadReport(
                            new UpstreamId("e" + number),
                            1,
                            mReports,
                            OPEN_REQUESTS_PER_UPSTREAM,
                            0,
                            20_000,
                            0,
                            false),
                    mNowNanos);
        }
    }

    private WorkRequest request() {
        long prompt = 1_000 + mRequests % 7_000;
        return new WorkRequest(
                new RequestId("r" + ++mRequests),
                mDeployment.teams().get((int) (mRequests % 10)).name(),
                mDeployment.shortProfile(),
                Deployment.MODEL,
                prompt,
                400,
                List.of(mRequests, -mRequests),
                "content",
                true,
                mNowNanos,
                mNowNanos + TimeUnit.SECONDS.toNanos(30));
    }

    private Announcement announcement(int number) {
        return new Announcement(
                new UpstreamId("e" + number),
                1,
                "127.0.0.1:9",
                new FailureDomain("d" + number % DOMAINS),
                UpstreamKind.ENGINE,
                mDeployment.engineService(),
                Set.of(Deployment.MODEL),
                EngineConstants.MEMORY_TOKENS,
                UpstreamRole.MIXED,
                true,
                false,
                new ColdLimit(EngineConstants.COLD_REQUESTS, EngineConstants.COLD_PREFILL_TOKENS),
                EngineConstants.MAXIMUM_RUNNING);
    }
}
