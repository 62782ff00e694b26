package dev.kumquatweir.bench;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.LoadReport;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/**
 * A model engine in virtual time: continuous batching, chunked prefill in order of priority, prefix
 * cache, limited KV cache memory, cold start in which too much work crashes it.
 */
final class EngineFake implements Upstream {
    private static final class Sequence {
        private final Job mJob;
        private final long mCached;
        private final long mPromptTokens;
        private long mDone;
        private long mTokens;
        private boolean mSilent;

        private Sequence(Job job, long cached) {
            mJob = job;
            mCached = cached;
            mPromptTokens = job.request().promptTokens() + job.offset();
            mDone = cached;
            mTokens = job.offset();
        }

        private long pending() {
            return Math.max(0, mPromptTokens - mDone);
        }
    }

    private static final Comparator<Sequence> URGENCY =
            Comparator.comparingInt(sequence -> -sequence.mJob.priority());

    private final Simulation mSimulation;
    private final Measures mMeasures;
    private final List<Sequence> mRunning = new ArrayList<>();
    private final List<Sequence> mQueued = new ArrayList<>();
    private final Map<AttemptId, Long> mLent = new HashMap<>();
    private final PrefixCache mCache = new PrefixCache();
    private Announcement mAnnouncement;
    private long mReports;
    private long mStepEpoch;
    private boolean mStepping;
    private boolean mAlive = true;
    private boolean mFrozen;
    private boolean mCold;
    private long mColdSinceNanos;

    EngineFake(Simulation simulation, Measures measures, Announcement announcement) {
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
                memoryInUse(),
                pendingTokens(0),
                mCold);
    }

    @Override
    public boolean alive() {
        return mAlive;
    }

    @Override
    public boolean frozen() {
        return mFrozen;
    }

    /** Returns the cache. */
    PrefixCache cache() {
        return mCache;
    }

    /** Returns whether it is cold. */
    boolean cold() {
        return mCold;
    }

    /** Returns the sequences in the batch and waiting. */
    int load() {
        return mRunning.size() + mQueued.size();
    }

    /** Returns the unprocessed prompt tokens of at least a priority. */
    long pendingTokens(int priority) {
        long tokens = 0;
        for (Sequence sequence : mRunning) {
            tokens += sequence.mJob.priority() >= priority ? sequence.pending() : 0;
        }
        for (Sequence sequence : mQueued) {
            tokens += sequence.mJob.priority() >= priority ? sequence.pending() : 0;
        }
        return tokens;
    }

    @Override
    public long memoryInUse() {
        long memory = 0;
        for (long lent : mLent.values()) {
            memory += lent;
        }
        return memory;
    }

    @Override
    public void start(Job job) {
        if (!mAlive) {
            job.listener().refused(AttemptEvent.RefusalReason.CONNECTION_REFUSED);
            return;
        }
        long share = job.memoryShare();
        boolean fits =
                fits(share) && job.partners().stream().allMatch(partner -> partner.fits(share));
        if (!fits) {
            job.listener().refused(AttemptEvent.RefusalReason.MEMORY_FULL);
            return;
        }
        lend(job.attempt(), share);
        job.partners().forEach(partner -> partner.lend(job.attempt(), share));
        long cached = mCache.cachedTokens(job.request().prefixHashes());
        Sequence sequence = new Sequence(job, Math.min(cached, job.request().promptTokens() - 1));
        mQueued.add(sequence);
        mQueued.sort(URGENCY);
        job.listener().accepted();
        checkCold(true);
        beginStep();
    }

    @Override
    public void cancel(AttemptId attempt) {
        mRunning.stream()
                .filter(sequence -> sequence.mJob.attempt().equals(attempt))
                .findFirst()
                .ifPresent(this::remove);
        mQueued.stream()
                .filter(sequence -> sequence.mJob.attempt().equals(attempt))
                .findFirst()
                .ifPresent(this::remove);
    }

    @Override
    public void die() {
        mAlive = false;
        mFrozen = false;
        mStepping = false;
        mStepEpoch++;
        List<Sequence> lost = new ArrayList<>(mRunning);
        lost.addAll(mQueued);
        lost.forEach(this::remove);
        lost.stream()
                .filter(sequence -> !sequence.mSilent)
                .forEach(sequence -> sequence.mJob.listener().broken());
        mLent.clear();
        mCache.clear();
    }

    @Override
    public void restart(boolean cold) {
        Announcement last = mAnnouncement;
        mAnnouncement =
                new Announcement(
                        last.id(),
                        last.incarnation() + 1,
                        last.address(),
                        last.domain(),
                        last.kind(),
                        last.service(),
                        last.models(),
                        last.memoryTokens(),
                        last.role(),
                        last.checksFencing(),
                        cold,
                        last.coldLimit(),
                        last.maximumRunning());
        mAlive = true;
        mReports = 0;
        mCold = cold;
        mColdSinceNanos = mSimulation.now() - EngineConstants.COLD_GRACE_NANOS;
    }

    @Override
    public void setCold(boolean cold) {
        mCold = cold;
        mColdSinceNanos = mSimulation.now();
    }

    @Override
    public void setFrozen(boolean frozen) {
        mFrozen = frozen;
        mStepEpoch++;
        mStepping = false;
        if (!frozen) {
            beginStep();
        }
    }

    @Override
    public void silence(int instance) {
        mRunning.stream()
                .filter(sequence -> sequence.mJob.instance() == instance)
                .forEach(sequence -> sequence.mSilent = true);
    }

    private boolean fits(long tokens) {
        return mAlive && memoryInUse() + tokens <= mAnnouncement.memoryTokens();
    }

    private void lend(AttemptId attempt, long tokens) {
        mLent.put(attempt, tokens);
        mCache.shrink(mAnnouncement.memoryTokens() - memoryInUse());
    }

    private void remove(Sequence sequence) {
        mRunning.remove(sequence);
        mQueued.remove(sequence);
        mLent.remove(sequence.mJob.attempt());
        sequence.mJob.partners().forEach(partner -> partner.mLent.remove(sequence.mJob.attempt()));
    }

    /** Crashes a cold engine that has borne too much for longer than its grace. */
    private void checkCold(boolean placed) {
        if (!mCold) {
            return;
        }
        boolean exceeded =
                load() > mAnnouncement.coldLimit().requests()
                        || pendingTokens(0) > mAnnouncement.coldLimit().prefillTokens();
        boolean warned = mSimulation.now() - mColdSinceNanos >= EngineConstants.COLD_GRACE_NANOS;
        if (exceeded && warned) {
            if (placed) {
                mMeasures.violated(Measures.Invariant.COLD_LIMIT, mAnnouncement.id().value());
            }
            mMeasures.crashed();
            die();
            mSimulation.after(Schedule.RESTART_NANOS, () -> restart(true));
            mSimulation.after(Schedule.RESTART_NANOS + Schedule.COLD_NANOS, () -> setCold(false));
        }
    }

    private void beginStep() {
        if (mStepping || mFrozen || !mAlive) {
            return;
        }
        while (mRunning.size() < mAnnouncement.maximumRunning() && !mQueued.isEmpty()) {
            mRunning.add(mQueued.removeFirst());
        }
        if (mRunning.isEmpty()) {
            return;
        }
        mRunning.sort(URGENCY);
        IdentityHashMap<Sequence, Long> chunks = new IdentityHashMap<>();
        long budget = EngineConstants.CHUNK_TOKENS;
        double prefill = 0;
        int decoding = 0;
        for (Sequence sequence : mRunning) {
            long chunk = Math.min(budget, sequence.pending());
            if (sequence.pending() == 0) {
                decoding++;
            } else if (chunk > 0) {
                chunks.put(sequence, chunk);
                budget -= chunk;
                prefill += EngineConstants.prefillNanos(chunk, sequence.mDone);
            }
        }
        double factor = mCold ? EngineConstants.COLD_FACTOR : 1;
        long nanos = (long) (EngineConstants.stepNanos(decoding, prefill) * factor);
        mStepping = true;
        long epoch = ++mStepEpoch;
        mSimulation.after(nanos, () -> endStep(epoch, chunks));
    }

    private void endStep(long epoch, IdentityHashMap<Sequence, Long> chunks) {
        if (epoch != mStepEpoch) {
            return;
        }
        mStepping = false;
        checkCold(false);
        for (Sequence sequence : List.copyOf(mRunning)) {
            Long chunk = chunks.get(sequence);
            if (chunk != null) {
                prefilled(sequence, chunk);
            } else if (sequence.pending() == 0 && mRunning.contains(sequence)) {
                emit(sequence);
            }
        }
        beginStep();
    }

    private void prefilled(Sequence sequence, long chunk) {
        mMeasures.prefilled(sequence.mJob.request(), sequence.mDone, chunk);
        sequence.mDone += chunk;
        if (sequence.pending() == 0) {
            mCache.store(
                    sequence.mJob.request().prefixHashes(),
                    mAnnouncement.memoryTokens() - memoryInUse());
            emit(sequence);
        }
    }

    private void emit(Sequence sequence) {
        sequence.mTokens++;
        boolean last = sequence.mTokens >= sequence.mJob.request().outputTokens();
        if (last) {
            remove(sequence);
        }
        if (sequence.mSilent) {
            return;
        }
        sequence.mJob.listener().token(sequence.mTokens);
        if (last) {
            sequence.mJob.listener().finished(sequence.mTokens, sequence.mCached);
        }
    }
}
