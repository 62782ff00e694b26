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
 * Runs one prompt over several engines. The reservation of all engines, granted whole or not at
 * all, comes before the first step; on each way out the reservation, the attempts and the exports
 * are released. Not thread-safe: owned by one duty.
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

    /** Makes a run whose engines are reserved by a permit and in the account of this instance. */
    public OversizeRun(OversizePlan plan, PermitHolder permits, MemoryLedger ledger) {
        this(plan, new PermitReservation(plan, permits, ledger));
    }

    /** Makes a run that waits for its engines; its first tick asks for them. */
    public OversizeRun(OversizePlan plan, OversizeReservation reservation) {
        mPlan = plan;
        mSteps = plan.steps();
        mReservation = reservation;
    }

    /** Takes an event and returns what is to be done now, in order. */
    public List<OversizeAction> handle(OversizeEvent event, long nowNanos) {
        return switch (event) {
            case OversizeEvent.Tick tick -> tick(nowNanos);
            case OversizeEvent.StepCompleted done -> stepCompleted(done.step());
            case OversizeEvent.Exported exported -> exported(exported.part(), exported.handle());
            case OversizeEvent.StepFailed failed -> broken(failed.upstream(), failed.cause());
            case OversizeEvent.EngineLost lost -> engineLost(lost.upstream());
            case OversizeEvent.Abandoned abandoned ->
                    end(new OversizeAction.Fail(abandoned.failure()));
        };
    }

    /** Returns whether the run has ended and holds nothing any more. */
    public boolean hasEnded() {
        return mPhase == Phase.ENDED;
    }

    private List<OversizeAction> tick(long nowNanos) {
        if (mPhase == Phase.RUNNING && mReservation.isRevoked()) {
            return broken(mPlan.lastPart().upstream(), AttemptEvent.BreakCause.UPSTREAM_GONE);
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

    /** An export whose answer comes after the end is released at once. */
    private List<OversizeAction> exported(PromptPart part, String handle) {
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
        return broken(upstream, AttemptEvent.BreakCause.UPSTREAM_GONE);
    }

    private List<OversizeAction> broken(UpstreamId upstream, AttemptEvent.BreakCause cause) {
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
            // A completed answer needs no cancel on its own engine; a processed part does, as its
            // attempt keeps the memory of the part until it is cancelled.
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
