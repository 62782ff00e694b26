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
 * owned by one duty.
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
    private final Set<PromptPart> mStarted = new HashSet<>();
    private final Set<UpstreamId> mLost = new HashSet<>();
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
    public List<OversizeAction> on(OversizeEvent event, long nowNanos) {
        return switch (event) {
            case OversizeEvent.Tick tick -> tick(nowNanos);
            case OversizeEvent.Done done -> done(done.step());
            case OversizeEvent.Exported exported -> exported(exported.part(), exported.handle());
            case OversizeEvent.Failed failed -> broken(failed.upstream(), failed.how());
            case OversizeEvent.EngineLost lost -> lost(lost.upstream());
            case OversizeEvent.Abandoned abandoned ->
                    end(new OversizeAction.Fail(abandoned.failure()));
        };
    }

    /** Returns whether the run has ended and released its reservation. */
    public boolean ended() {
        return mPhase == Phase.ENDED;
    }

    private List<OversizeAction> tick(long nowNanos) {
        if (mPhase == Phase.RUNNING && mReservation.withdrawn()) {
            return broken(mPlan.last().upstream(), AttemptEvent.BreakCause.UPSTREAM_GONE);
        }
        if (mPhase != Phase.WAITING || !mReservation.acquire(nowNanos)) {
            return List.of();
        }
        mPhase = Phase.RUNNING;
        return List.of(perform());
    }

    private List<OversizeAction> done(OversizeStep step) {
        if (mPhase != Phase.RUNNING || !step.equals(mSteps.get(mNextStep))) {
            return List.of();
        }
        mNextStep++;
        return mNextStep == mSteps.size() ? end(new OversizeAction.Complete()) : List.of(perform());
    }

    /** Handles a completed export; one that completes after the end is released immediately. */
    private List<OversizeAction> exported(PromptPart part, String handle) {
        if (mPhase != Phase.RUNNING) {
            return mLost.contains(part.upstream())
                    ? List.of()
                    : List.of(new OversizeAction.ReleaseKv(part.upstream(), handle));
        }
        mHandles.put(part, handle);
        mReservation.exported(part, handle);
        return done(new OversizeStep.ExportKv(part));
    }

    private List<OversizeAction> lost(UpstreamId upstream) {
        boolean used = mPlan.parts().stream().anyMatch(part -> part.upstream().equals(upstream));
        if (!used) {
            return List.of();
        }
        mLost.add(upstream);
        return broken(upstream, AttemptEvent.BreakCause.UPSTREAM_GONE);
    }

    private List<OversizeAction> broken(UpstreamId upstream, AttemptEvent.BreakCause how) {
        return end(new OversizeAction.Broken(upstream, how));
    }

    private OversizeAction perform() {
        OversizeStep step = mSteps.get(mNextStep);
        switch (step) {
            case OversizeStep.Prefill prefill -> mStarted.add(prefill.part());
            case OversizeStep.Generate generate -> mStarted.add(generate.part());
            case OversizeStep.ExportKv export -> {}
            case OversizeStep.ImportKv imported -> {}
        }
        return new OversizeAction.Perform(step, List.copyOf(mHandles.values()));
    }

    private List<OversizeAction> end(OversizeAction last) {
        if (mPhase == Phase.ENDED) {
            return List.of();
        }
        mPhase = Phase.ENDED;
        List<OversizeAction> actions = new ArrayList<>();
        for (PromptPart part : mPlan.parts()) {
            boolean reachable = !mLost.contains(part.upstream());
            String handle = mHandles.get(part);
            if (handle != null) {
                mReservation.exportReleased(part, handle);
                if (reachable) {
                    actions.add(new OversizeAction.ReleaseKv(part.upstream(), handle));
                }
            }
            // The attempt of the last part ends with its answer. The attempts of the other parts
            // keep their memory until they are cancelled.
            boolean finished = last instanceof OversizeAction.Complete && part.equals(mPlan.last());
            if (reachable && mStarted.contains(part) && !finished) {
                actions.add(new OversizeAction.Cancel(part.upstream(), part.attempt()));
            }
        }
        mReservation.release();
        actions.add(last);
        return actions;
    }
}
