package dev.kumquatweir.bench;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A plain service in virtual time: a number of workers and a queue. */
final class ServiceFake implements Upstream {
    private final Simulation mSimulation;
    private final Measures mMeasures;
    private final Map<AttemptId, Job> mRunning = new LinkedHashMap<>();
    private final Deque<Job> mQueued = new ArrayDeque<>();
    private final Announcement mAnnouncement;
    private long mReports;
    private boolean mAlive = true;

    ServiceFake(Simulation simulation, Measures measures, Announcement announcement) {
        mSimulation = simulation;
        mMeasures = measures;
        mAnnouncement = announcement;
    }

    @Override
    public Announcement announcement() {
        return mAnnouncement;
    }

    @Override
    public LoadReport report() {
        return new LoadReport(
                mAnnouncement.id(),
                mAnnouncement.incarnation(),
                ++mReports,
                mRunning.size(),
                mQueued.size(),
                0,
                0,
                false);
    }

    @Override
    public boolean alive() {
        return mAlive;
    }

    @Override
    public boolean frozen() {
        return false;
    }

    @Override
    public void start(Job job) {
        if (!mAlive) {
            job.listener().refused(AttemptEvent.RefusalReason.CONNECTION_REFUSED);
            return;
        }
        job.listener().accepted();
        mQueued.add(job);
        runQueued();
    }

    @Override
    public void cancel(AttemptId attempt) {
        mQueued.removeIf(job -> job.attempt().equals(attempt));
        mRunning.remove(attempt);
        runQueued();
    }

    @Override
    public void die() {
        mAlive = false;
        List<Job> lost = new ArrayList<>(mRunning.values());
        lost.addAll(mQueued);
        mRunning.clear();
        mQueued.clear();
        lost.forEach(job -> job.listener().broken());
    }

    @Override
    public void restart(boolean cold) {
        mAlive = true;
    }

    @Override
    public void setCold(boolean cold) {
        // Plain services have no cold start.
    }

    @Override
    public void setFrozen(boolean frozen) {
        // The schedules freeze engines only.
    }

    @Override
    public void silence(int instance) {
        // The schedules silence connections to engines only.
    }

    @Override
    public long memoryInUse() {
        return 0;
    }

    private void runQueued() {
        while (mRunning.size() < mAnnouncement.maximumRunning() && !mQueued.isEmpty()) {
            Job job = mQueued.removeFirst();
            mRunning.put(job.attempt(), job);
            mMeasures.executed(job.request());
            long nanos = TimeUnit.MILLISECONDS.toNanos(job.request().outputTokens());
            mSimulation.after(nanos, () -> finish(job));
        }
    }

    private void finish(Job job) {
        if (mRunning.remove(job.attempt()) != null) {
            job.listener().finished(1, 0);
            runQueued();
        }
    }
}
