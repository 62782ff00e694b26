package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.memory.MemoryLedger;
import dev.kumquatweir.policy.permit.PermitHolder;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * State machine that runs one prompt on several engines: takes events and returns the actions to
 * carry out. Memory is reserved on all engines before the first step, on all of them or on none. In
 * whichever way the run ends, its reservation, attempts and exports are released. Not thread-safe:
 * owned by one event loop.
 */
public final class OversizeRun {
    private enum Phase {
        WAITING,
        RUNNING,
        ENDED
    }

    private final OversizePlan mPlan;
    private final List<OversizeStep> mSteps;
    private final OversizeReservation mReservation;
    private final Map<PromptPart, String> mHandles = new LinkedHashMap<>();
    private final Set<PromptPart> mStartedParts = new HashSet<>();
    private final Set<UpstreamId> mLostEngines = new HashSet<>();
    private Phase mPhase = Phase.WAITING;
    private int mNextStep;

    /** Creates a run whose memory is reserved by a permit and in this instance's ledger. */
    public OversizeRun(OversizePlan plan, PermitHolder permits, MemoryLedger ledger) {
        this(plan, new PermitReservation(plan, permits, ledger));
    }

    /** Creates a run that waits for its reservation, which the first tick tries to acquire. */
    public OversizeRun(OversizePlan plan, OversizeReservation reservation) {
        mPlan = plan;
        mSteps = plan.steps();
        mReservation = reservation;
    }

    /** Handles an event and returns the actions to carry out now, in order. */
    public List<OversizeAction> handle(OversizeEvent event, long nowNanos) {
        return switch (event) {
            case OversizeEvent.Tick tick -> tick(nowNanos);
            case OversizeEvent.StepCompleted done -> stepCompleted(done.step());
            case OversizeEvent.Exported exported ->
                    exportCompleted(exported.part(), exported.handle());
            case OversizeEvent.StepFailed failed -> abort(failed.upstream(), failed.cause());
            case OversizeEvent.EngineLost lost -> engineLost(lost.upstream());
            case OversizeEvent.Abandoned abandoned ->
                    end(new OversizeAction.Fail(abandoned.failure()));
        };
    }

    /** Returns whether the run has ended and released its reservation. */
    public boolean hasEnded() {
        return mPhase == Phase.ENDED;
    }

    private List<OversizeAction> tick(long nowNanos) {
        if (mPhase == Phase.RUNNING && mReservation.isRevoked()) {
            return abort(mPlan.lastPart().upstream(), AttemptEvent.BreakCause.UPSTREAM_GONE);
        }
        if (mPhase != Phase.WAITING || !mReservation.tryAcquire(nowNanos)) {
            return List.of();
        }
        mPhase = Phase.RUNNING;
        return List.of(startNextStep());
    }

    private List<OversizeAction> stepCompleted(OversizeStep step) {
        if (mPhase != Phase.RUNNING || !step.equals(mSteps.get(mNextStep))) {
            return List.of();
        }
        mNextStep++;
        return mNextStep == mSteps.size()
                ? end(new OversizeAction.Complete())
                : List.of(startNextStep());
    }

    /** Handles a completed export; one that completes after the end is released immediately. */
    private List<OversizeAction> exportCompleted(PromptPart part, String handle) {
        if (mPhase != Phase.RUNNING) {
            return mLostEngines.contains(part.upstream())
                    ? List.of()
                    : List.of(new OversizeAction.ReleaseKv(part.upstream(), handle));
        }
        mHandles.put(part, handle);
        mReservation.recordExport(part, handle);
        return stepCompleted(new OversizeStep.ExportKv(part));
    }

    private List<OversizeAction> engineLost(UpstreamId upstream) {
        boolean usedByPlan =
                mPlan.parts().stream().anyMatch(part -> part.upstream().equals(upstream));
        if (!usedByPlan) {
            return List.of();
        }
        mLostEngines.add(upstream);
        return abort(upstream, AttemptEvent.BreakCause.UPSTREAM_GONE);
    }

    private List<OversizeAction> abort(UpstreamId upstream, AttemptEvent.BreakCause cause) {
        return end(new OversizeAction.Broken(upstream, cause));
    }

    private OversizeAction startNextStep() {
        OversizeStep step = mSteps.get(mNextStep);
        switch (step) {
            case OversizeStep.Prefill prefill -> mStartedParts.add(prefill.part());
            case OversizeStep.Generate generate -> mStartedParts.add(generate.part());
            case OversizeStep.ExportKv export -> {}
            case OversizeStep.ImportKv imported -> {}
        }
        return new OversizeAction.Perform(step, List.copyOf(mHandles.values()));
    }

    private List<OversizeAction> end(OversizeAction outcome) {
        if (mPhase == Phase.ENDED) {
            return List.of();
        }
        mPhase = Phase.ENDED;
        List<OversizeAction> actions = new ArrayList<>();
        for (PromptPart part : mPlan.parts()) {
            boolean reachable = !mLostEngines.contains(part.upstream());
            String handle = mHandles.get(part);
            if (handle != null) {
                mReservation.recordExportRelease(part, handle);
                if (reachable) {
                    actions.add(new OversizeAction.ReleaseKv(part.upstream(), handle));
                }
            }
            // The attempt of the last part ends with its answer. The attempts of the other parts
            // keep their memory until they are cancelled.
            boolean finished =
                    outcome instanceof OversizeAction.Complete && part.equals(mPlan.lastPart());
            if (reachable && mStartedParts.contains(part) && !finished) {
                actions.add(new OversizeAction.Cancel(part.upstream(), part.attempt()));
            }
        }
        mReservation.release();
        actions.add(outcome);
        return actions;
    }
}
