package dev.kumquatweir.policy.model;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Rolls out a new version of a model to the engines of a service. The first step updates one engine
 * and each further step twice as many, after the new version has performed as well as the old one.
 * If it fails, the rollout stops and rolls back to the old version. Never occupies more engines
 * than the profiles can spare. Not thread-safe: owned by the leader's duty.
 */
public final class Rollout {
    private final ModelVariant mOld;
    private final ModelVariant mNew;
    private final long mObserveNanos;
    private final long mObserveRequests;
    private final double mFailedMargin;
    private final double mLateMargin;
    private final long mMinimumFailures;
    private final VersionHealth mOldHealth = new VersionHealth();
    private final VersionHealth mNewHealth = new VersionHealth();
    private int mCrashes;
    private int mLoadFailures;
    private RolloutDecision.@Nullable StopCause mStopCause;
    private int mBatch = 1;
    private boolean mStepInProgress;
    private boolean mObserving;
    private long mObservingSinceNanos;

    private Rollout(Builder builder) {
        mOld = builder.mOld;
        mNew = builder.mNew;
        mObserveNanos = builder.mObserveNanos;
        mObserveRequests = builder.mObserveRequests;
        mFailedMargin = builder.mFailedMargin;
        mLateMargin = builder.mLateMargin;
        mMinimumFailures = builder.mMinimumFailures;
    }

    /**
     * Returns a builder for a rollout that observes each step for at least 60 s and 50 requests,
     * and stops if the share of failures exceeds that of the old version by 2%, or the share of
     * late first tokens by 10% (percentage points), with at least 5 of them.
     */
    public static Builder builder(ModelVariant oldVersion, ModelVariant newVersion) {
        return new Builder(oldVersion, newVersion);
    }

    /**
     * Records the outcome of a request.
     *
     * @param variant the variant that executed it
     * @param late whether its first token arrived far later than expected
     */
    public void recordOutcome(ModelVariant variant, boolean succeeded, boolean late) {
        if (variant.equals(mNew)) {
            mNewHealth.ended(succeeded, late);
        } else if (variant.equals(mOld)) {
            mOldHealth.ended(succeeded, late);
        }
    }

    /** Records an unplanned termination of an engine that ran the new version. */
    public void recordEngineCrash() {
        mCrashes++;
    }

    /** Records that an engine failed to load the new version. */
    public void recordLoadFailure() {
        mLoadFailures++;
    }

    /** Stops the rollout and rolls back to the old version. */
    public void stop() {
        stop(RolloutDecision.StopCause.OPERATORS);
    }

    /** Decides on the next step. Called on each change and every second. */
    public RolloutDecision next(RolloutView view, long nowNanos) {
        checkStopConditions();
        if (mStopCause != null) {
            return rollBack(view, mStopCause);
        }
        List<EngineModels> left = engines(view, mOld);
        List<EngineModels> upgraded = engines(view, mNew);
        if (upgraded.stream().anyMatch(EngineModels::loading)) {
            return new RolloutDecision.Wait(RolloutDecision.Reason.LOADING);
        }
        // If the engines of a step have disappeared, the step is repeated with others.
        mStepInProgress = mStepInProgress && !upgraded.isEmpty();
        if (mStepInProgress) {
            if (!mObserving) {
                mObserving = true;
                mObservingSinceNanos = nowNanos;
                mOldHealth.reset();
                mNewHealth.reset();
            }
            boolean observedEnough =
                    nowNanos - mObservingSinceNanos >= mObserveNanos
                            && mNewHealth.requests() >= mObserveRequests;
            if (!observedEnough) {
                return new RolloutDecision.Wait(RolloutDecision.Reason.EVIDENCE);
            }
            mStepInProgress = false;
            mBatch *= 2;
        }
        if (left.isEmpty()) {
            return upgraded.isEmpty()
                    ? new RolloutDecision.Wait(RolloutDecision.Reason.CAPACITY)
                    : new RolloutDecision.Completed();
        }
        RolloutDecision decision = take(view, left, mNew, mOld, mBatch);
        if (decision instanceof RolloutDecision.SendOrders) {
            mStepInProgress = true;
            mObserving = false;
        }
        return decision;
    }

    private RolloutDecision rollBack(RolloutView view, RolloutDecision.StopCause cause) {
        List<EngineModels> upgraded = engines(view, mNew);
        if (upgraded.isEmpty()) {
            return engines(view, mOld).stream().anyMatch(EngineModels::loading)
                    ? new RolloutDecision.Wait(RolloutDecision.Reason.LOADING)
                    : new RolloutDecision.RolledBack(cause);
        }
        List<EngineModels> ready = upgraded.stream().filter(engine -> !engine.loading()).toList();
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
        // Loading on engines that are not usable takes no capacity away.
        long idle = from.stream().filter(engine -> !engine.usable()).count();
        long spare = Math.max(0, serving - view.neededEngines()) + idle;
        // A rollback must not wait indefinitely: an engine with a failed version adds little
        // capacity.
        long least = mStopCause != null && serving == view.engines().size() ? 1 : 0;
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

    /**
     * Checks whether to stop the rollout. A single crash or failed load may be coincidental, so at
     * least two are required.
     */
    private void checkStopConditions() {
        if (mCrashes >= 2) {
            stop(RolloutDecision.StopCause.DEATHS);
        }
        if (mLoadFailures >= 2) {
            stop(RolloutDecision.StopCause.LOAD_FAILED);
        }
        boolean failing =
                mNewHealth.failed() >= mMinimumFailures
                        && mNewHealth.failedShare() > mOldHealth.failedShare() + mFailedMargin;
        if (failing) {
            stop(RolloutDecision.StopCause.FAILURES);
        }
        boolean late =
                mNewHealth.late() >= mMinimumFailures
                        && mNewHealth.lateShare() > mOldHealth.lateShare() + mLateMargin;
        if (late) {
            stop(RolloutDecision.StopCause.LATE_FIRST_TOKENS);
        }
    }

    private void stop(RolloutDecision.StopCause cause) {
        if (mStopCause == null) {
            mStopCause = cause;
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
        private long mMinimumFailures = 5;

        private Builder(ModelVariant oldVersion, ModelVariant newVersion) {
            mOld = oldVersion;
            mNew = newVersion;
        }

        /** Sets the minimum time and number of requests for which each step is observed. */
        public Builder observe(long nanos, long requests) {
            mObserveNanos = nanos;
            mObserveRequests = requests;
            return this;
        }

        /**
         * Sets by how much the shares of failed and of late requests may exceed those of the old
         * version.
         */
        public Builder margins(double failed, double late) {
            mFailedMargin = failed;
            mLateMargin = late;
            return this;
        }

        /** Sets the minimum number of failures, or of late first tokens, that stops a rollout. */
        public Builder minimumFailures(long value) {
            mMinimumFailures = value;
            return this;
        }

        /** Builds a rollout that has not started. */
        public Rollout build() {
            return new Rollout(this);
        }
    }
}
