package dev.kumquatweir.policy.model;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Brings a new version of a model onto the engines of a service: one engine first, then twice as
 * many with each step, each step only after the new version has proved itself next to the old one.
 * When it fails, the rollout stops by itself and loads the old version again. Never takes more
 * engines than the profiles can spare. Not thread-safe: owned by the leader's duty.
 */
public final class Rollout {
    private final ModelVariant mOld;
    private final ModelVariant mNew;
    private final long mObserveNanos;
    private final long mObserveRequests;
    private final double mFailedMargin;
    private final double mLateMargin;
    private final long mLeastFailures;
    private final VersionHealth mOldHealth = new VersionHealth();
    private final VersionHealth mNewHealth = new VersionHealth();
    private int mDeaths;
    private int mLoadFailures;
    private RolloutDecision.@Nullable StopCause mStopped;
    private int mBatch = 1;
    private boolean mStepOpen;
    private boolean mObserving;
    private long mObservingSinceNanos;

    private Rollout(Builder builder) {
        mOld = builder.mOld;
        mNew = builder.mNew;
        mObserveNanos = builder.mObserveNanos;
        mObserveRequests = builder.mObserveRequests;
        mFailedMargin = builder.mFailedMargin;
        mLateMargin = builder.mLateMargin;
        mLeastFailures = builder.mLeastFailures;
    }

    /**
     * Starts a rollout that watches each step for 60 s and 50 requests, and stops at 2% more
     * failures or 10% more late first tokens than the old version has, from 5 of them on.
     */
    public static Builder builder(ModelVariant oldVersion, ModelVariant newVersion) {
        return new Builder(oldVersion, newVersion);
    }

    /**
     * Takes the outcome of a request.
     *
     * @param variant what it ran on
     * @param late whether its first token came far later than expected
     */
    public void recordOutcome(ModelVariant variant, boolean succeeded, boolean late) {
        if (variant.equals(mNew)) {
            mNewHealth.ended(succeeded, late);
        } else if (variant.equals(mOld)) {
            mOldHealth.ended(succeeded, late);
        }
    }

    /** Takes the death, without a plan, of an engine that ran the new version. */
    public void recordEngineCrash() {
        mDeaths++;
    }

    /** Takes the failure of an engine to load the new version. */
    public void recordLoadFailure() {
        mLoadFailures++;
    }

    /** Stops the rollout and goes back to the old version. */
    public void stop() {
        stop(RolloutDecision.StopCause.OPERATORS);
    }

    /** Decides what is done now; call it at each change and each second. */
    public RolloutDecision next(RolloutView view, long nowNanos) {
        judge();
        if (mStopped != null) {
            return goBack(view, mStopped);
        }
        List<EngineModels> left = engines(view, mOld);
        List<EngineModels> renewed = engines(view, mNew);
        if (renewed.stream().anyMatch(EngineModels::loading)) {
            return new RolloutDecision.Wait(RolloutDecision.Reason.LOADING);
        }
        // If the engines of a step are gone, others are taken in their place.
        mStepOpen = mStepOpen && !renewed.isEmpty();
        if (mStepOpen) {
            if (!mObserving) {
                mObserving = true;
                mObservingSinceNanos = nowNanos;
                mOldHealth.reset();
                mNewHealth.reset();
            }
            boolean proved =
                    nowNanos - mObservingSinceNanos >= mObserveNanos
                            && mNewHealth.requests() >= mObserveRequests;
            if (!proved) {
                return new RolloutDecision.Wait(RolloutDecision.Reason.EVIDENCE);
            }
            mStepOpen = false;
            mBatch *= 2;
        }
        if (left.isEmpty()) {
            return renewed.isEmpty()
                    ? new RolloutDecision.Wait(RolloutDecision.Reason.CAPACITY)
                    : new RolloutDecision.Completed();
        }
        RolloutDecision decision = take(view, left, mNew, mOld, mBatch);
        if (decision instanceof RolloutDecision.SendOrders) {
            mStepOpen = true;
            mObserving = false;
        }
        return decision;
    }

    private RolloutDecision goBack(RolloutView view, RolloutDecision.StopCause cause) {
        List<EngineModels> renewed = engines(view, mNew);
        if (renewed.isEmpty()) {
            return engines(view, mOld).stream().anyMatch(EngineModels::loading)
                    ? new RolloutDecision.Wait(RolloutDecision.Reason.LOADING)
                    : new RolloutDecision.RolledBack(cause);
        }
        List<EngineModels> ready = renewed.stream().filter(engine -> !engine.loading()).toList();
        if (ready.isEmpty()) {
            return new RolloutDecision.Wait(RolloutDecision.Reason.LOADING);
        }
        return take(view, ready, mOld, mNew, ready.size());
    }

    private RolloutDecision take(
            RolloutView view,
            List<EngineModels> from,
            ModelVariant loaded,
            ModelVariant replaced,
            int batch) {
        if (view.loadPermits() < 1) {
            return new RolloutDecision.Wait(RolloutDecision.Reason.WEIGHT_STORE);
        }
        long serving =
                view.engines().stream()
                        .filter(engine -> engine.usable() && !engine.loading())
                        .count();
        // Engines that are not usable cost no capacity while they load.
        long idle = from.stream().filter(engine -> !engine.usable()).count();
        long spare = Math.max(0, serving - view.neededEngines()) + idle;
        // Going back must not wait for ever: an engine with a failed version is worth little.
        long least = mStopped != null && serving == view.engines().size() ? 1 : 0;
        long count = Math.min(batch, Math.min(view.loadPermits(), Math.max(spare, least)));
        if (count < 1) {
            return new RolloutDecision.Wait(RolloutDecision.Reason.CAPACITY);
        }
        Comparator<EngineModels> idleFirst =
                Comparator.comparing(EngineModels::usable).thenComparing(EngineModels::upstream);
        return new RolloutDecision.SendOrders(
                from.stream()
                        .filter(engine -> !engine.loading())
                        .sorted(idleFirst)
                        .limit(count)
                        .<ModelOrder>map(
                                engine ->
                                        new ModelOrder.LoadVersion(
                                                engine.upstream(), loaded, replaced))
                        .toList());
    }

    /** One death or one failed load may be chance; two are not. */
    private void judge() {
        if (mDeaths >= 2) {
            stop(RolloutDecision.StopCause.DEATHS);
        }
        if (mLoadFailures >= 2) {
            stop(RolloutDecision.StopCause.LOAD_FAILED);
        }
        boolean failing =
                mNewHealth.failed() >= mLeastFailures
                        && mNewHealth.failedShare() > mOldHealth.failedShare() + mFailedMargin;
        if (failing) {
            stop(RolloutDecision.StopCause.FAILURES);
        }
        boolean late =
                mNewHealth.late() >= mLeastFailures
                        && mNewHealth.lateShare() > mOldHealth.lateShare() + mLateMargin;
        if (late) {
            stop(RolloutDecision.StopCause.LATE_FIRST_TOKENS);
        }
    }

    private void stop(RolloutDecision.StopCause cause) {
        if (mStopped == null) {
            mStopped = cause;
        }
    }

    private static List<EngineModels> engines(RolloutView view, ModelVariant variant) {
        return view.engines().stream().filter(engine -> engine.loaded().contains(variant)).toList();
    }

    /** Builds a {@link Rollout}. Not thread-safe. */
    public static final class Builder {
        private final ModelVariant mOld;
        private final ModelVariant mNew;
        private long mObserveNanos = TimeUnit.SECONDS.toNanos(60);
        private long mObserveRequests = 50;
        private double mFailedMargin = 0.02;
        private double mLateMargin = 0.1;
        private long mLeastFailures = 5;

        private Builder(ModelVariant oldVersion, ModelVariant newVersion) {
            mOld = oldVersion;
            mNew = newVersion;
        }

        /** Sets how long, and for how many requests, each step is watched. */
        public Builder observe(long nanos, long requests) {
            mObserveNanos = nanos;
            mObserveRequests = requests;
            return this;
        }

        /** Sets what the new version may be worse in, as shares of its requests. */
        public Builder margins(double failed, double late) {
            mFailedMargin = failed;
            mLateMargin = late;
            return this;
        }

        /** Sets how many failures, or late first tokens, stop a rollout at the earliest. */
        public Builder leastFailures(long value) {
            mLeastFailures = value;
            return this;
        }

        /** Returns a rollout that has not begun. */
        public Rollout build() {
            return new Rollout(this);
        }
    }
}
