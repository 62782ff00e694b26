package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.dispatch.PromptBlocks;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.oversize.OversizeAction;
import dev.kumquatweir.policy.oversize.OversizeEvent;
import dev.kumquatweir.policy.oversize.OversizePlan;
import dev.kumquatweir.policy.oversize.OversizeReservation;
import dev.kumquatweir.policy.oversize.OversizeRun;
import dev.kumquatweir.policy.oversize.OversizeStep;
import dev.kumquatweir.policy.oversize.PromptPart;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Carries out one run. Runs on the oversize duty, apart from {@link #abandon} and the stream of the
 * answer, which goes to the listener as it arrives.
 */
final class OversizeExecution {
    private static final EventLog LOG = EventLog.of(OversizeExecution.class);

    private final OversizeCaller mOwner;
    private final AttemptOrder mOrder;
    private final AttemptListener mListener;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final Map<UpstreamId, Announcement> mEngines = new HashMap<>();
    private final KvCleanup mCleanup;
    private final AtomicLong mCachedBefore = new AtomicLong();
    private @Nullable OversizeRun mRun;
    private @Nullable Runnable mClose;
    private AttemptEvent.@Nullable RefusalReason mRefusal;
    private boolean mEnded;
    private volatile boolean mClosed;

    OversizeExecution(
            OversizeCaller owner, AttemptOrder order, AttemptListener listener, long nowNanos) {
        mOwner = owner;
        mOrder = order;
        mListener = listener;
        mStartNanos = nowNanos;
        mDeadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(order.remainingMillis());
        mCleanup = new KvCleanup(owner);
    }

    /** Plans the run and asks for its engines. */
    void begin(
            List<Announcement> engines,
            Supplier<AttemptId> ids,
            Function<OversizePlan, OversizeReservation> reservations) {
        if (mEnded) {
            return;
        }
        Work.Generation work = (Work.Generation) mOrder.work();
        engines.forEach(engine -> mEngines.put(engine.id(), engine));
        OversizePlan plan =
                OversizePlan.ofEqualShares(
                        PromptBlocks.tokens(work.prompt()),
                        work.maximumTokens(),
                        engines,
                        ids,
                        mOrder.attempt());
        mRun = new OversizeRun(plan, reservations.apply(plan));
        LOG.info(
                "oversize_started",
                "attempt",
                mOrder.attempt(),
                "prompt_tokens",
                PromptBlocks.tokens(work.prompt()),
                "engines",
                engines.stream().map(engine -> engine.id().value()).toList());
        tick();
    }

    /** Lets a run that waits for its engines ask again. */
    void tick() {
        take(new OversizeEvent.Tick());
    }

    /** Ends the run and gives back what it holds; the listener hears nothing more. Any thread. */
    void abandon() {
        mClosed = true;
        mOwner.post(
                () -> {
                    if (!mEnded && mRun == null) {
                        end("oversize_abandoned");
                    }
                    take(new OversizeEvent.Abandoned(new RequestFailure.CallerDisconnected()));
                });
    }

    private void take(OversizeEvent event) {
        OversizeRun run = mRun;
        if (run != null) {
            run.handle(event, mOwner.nowNanos()).forEach(this::carryOut);
        }
    }

    private void carryOut(OversizeAction action) {
        switch (action) {
            case OversizeAction.Perform perform -> perform(perform.step(), perform.handles());
            case OversizeAction.Cancel cancel ->
                    mOwner.engines().cancel(engine(cancel.upstream()), cancel.attempt());
            case OversizeAction.ReleaseKv release ->
                    mCleanup.release(engine(release.upstream()), release.handle());
            case OversizeAction.Complete complete -> end("oversize_finished");
            case OversizeAction.Broken broken -> broken(broken);
            case OversizeAction.Fail fail -> end("oversize_abandoned");
        }
    }

    private void perform(OversizeStep step, List<String> handles) {
        switch (step) {
            case OversizeStep.Prefill prefill -> prefill(prefill, handles);
            case OversizeStep.ExportKv export -> export(export);
            case OversizeStep.ImportKv imported -> importKv(imported, handles);
            case OversizeStep.Generate generate -> generate(generate, handles);
        }
    }

    private void prefill(OversizeStep.Prefill step, List<String> handles) {
        Announcement engine = engine(step.part().upstream());
        long remaining = sendable(engine);
        if (remaining > 0) {
            AttemptOrder order = PromptCut.prefill(mOrder, step.part(), engine, handles, remaining);
            mClose = mOwner.engines().start(order, new PrefillListener(step));
        }
    }

    private void generate(OversizeStep.Generate step, List<String> handles) {
        long remaining = sendable(engine(step.part().upstream()));
        if (remaining > 0) {
            AttemptOrder order = PromptCut.generate(mOrder, handles, remaining);
            mClose = mOwner.engines().start(order, new AnswerListener(step));
        }
    }

    /** Returns the time left in milliseconds, or 0 if nothing may be sent: the run breaks then. */
    private long sendable(Announcement engine) {
        long nowNanos = mOwner.nowNanos();
        long left = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - nowNanos);
        if (left > 0 && mOwner.maySend(engine, nowNanos)) {
            return left;
        }
        refused(engine.id(), AttemptEvent.RefusalReason.NOT_SENT);
        return 0;
    }

    private void export(OversizeStep.ExportKv step) {
        PromptPart part = step.part();
        Announcement engine = engine(part.upstream());
        whenAnswered(
                mOwner.kvCalls().export(engine, part.attempt()),
                answer -> exported(part, engine, answer));
    }

    /** A call under way counts as open, since its answer may show something to be released. */
    private void whenAnswered(CompletionStage<KvAnswer> call, Consumer<KvAnswer> then) {
        mOwner.opened();
        call.thenAccept(
                answer ->
                        mOwner.post(
                                () -> {
                                    then.accept(answer);
                                    mOwner.closed();
                                }));
    }

    private void exported(PromptPart part, Announcement engine, KvAnswer answer) {
        switch (answer) {
            case KvAnswer.Done done -> take(new OversizeEvent.Exported(part, done.handle()));
            case KvAnswer.Refused refused -> failed(part.upstream(), refused.type());
            case KvAnswer.Unknown unknown -> {
                failed(part.upstream(), unknown.problem());
                mCleanup.findExport(engine, part.attempt());
            }
        }
    }

    private void importKv(OversizeStep.ImportKv step, List<String> handles) {
        Announcement source = engine(step.source().upstream());
        Announcement target = engine(step.target().upstream());
        String handle = handles.get(step.source().index());
        mCleanup.imported(target, handle);
        whenAnswered(
                mOwner.kvCalls().importKv(target, handle, source),
                answer -> imported(step, handle, answer));
    }

    private void imported(OversizeStep.ImportKv step, String handle, KvAnswer answer) {
        switch (answer) {
            case KvAnswer.Done done -> take(new OversizeEvent.StepCompleted(step));
            case KvAnswer.Refused refused -> failed(step.target().upstream(), refused.type());
            case KvAnswer.Unknown unknown -> failed(step.target().upstream(), unknown.problem());
        }
        if (mEnded) {
            // The engine may have taken the import after the release that was sent at the end.
            mCleanup.release(engine(step.target().upstream()), handle);
        }
    }

    private void refused(UpstreamId upstream, AttemptEvent.RefusalReason reason) {
        if (!mEnded) {
            mRefusal = reason;
            take(new OversizeEvent.StepFailed(upstream, AttemptEvent.BreakCause.UPSTREAM_ERROR));
        }
    }

    private void failed(UpstreamId upstream, String problem) {
        if (!mEnded) {
            LOG.warn(
                    "oversize_step_failed",
                    "attempt",
                    mOrder.attempt(),
                    "upstream",
                    upstream,
                    "problem",
                    problem);
            take(new OversizeEvent.StepFailed(upstream, AttemptEvent.BreakCause.UPSTREAM_ERROR));
        }
    }

    /** What was reserved and exported is on its way back before the policy hears of the end. */
    private void broken(OversizeAction.Broken broken) {
        AttemptEvent.RefusalReason refusal = mRefusal;
        LOG.warn(
                "oversize_broken",
                "attempt",
                mOrder.attempt(),
                "upstream",
                broken.upstream(),
                "how",
                refusal == null ? broken.cause() : refusal);
        end(null);
        if (mClosed) {
            return;
        }
        if (refusal == null) {
            mListener.broken(broken.cause());
        } else {
            mListener.refused(refusal);
        }
    }

    private void end(@Nullable String event) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        Runnable close = mClose;
        if (close != null) {
            close.run();
        }
        mCleanup.releaseImports();
        mOwner.ended(mOrder.attempt());
        if (event != null) {
            long millis = TimeUnit.NANOSECONDS.toMillis(mOwner.nowNanos() - mStartNanos);
            LOG.info(event, "attempt", mOrder.attempt(), "millis", millis);
        }
    }

    private Announcement engine(UpstreamId upstream) {
        Announcement engine = mEngines.get(upstream);
        if (engine == null) {
            throw new IllegalStateException("engine " + upstream + " is not part of the run");
        }
        return engine;
    }

    /** Takes the end of a part that has no answer. */
    private class PrefillListener implements AttemptListener {
        private final OversizeStep mStep;
        private final PromptPart mPart;

        PrefillListener(OversizeStep.Prefill step) {
            this(step, step.part());
        }

        PrefillListener(OversizeStep step, PromptPart part) {
            mStep = step;
            mPart = part;
        }

        @Override
        public void accepted() {
            // The answer has not begun: the policy may still take a refusal of a later part.
        }

        @Override
        public void token(long index, String text) {
            broken(AttemptEvent.BreakCause.UPSTREAM_ERROR);
        }

        @Override
        public void finished(GenerationSummary summary) {
            mOwner.post(
                    () -> {
                        mCachedBefore.addAndGet(cachedHere(summary));
                        take(new OversizeEvent.StepCompleted(mStep));
                    });
        }

        @Override
        public void answered(RecordedResponse answer) {
            throw new IllegalStateException("an engine gave a plain answer");
        }

        @Override
        public void refused(AttemptEvent.RefusalReason reason) {
            mOwner.post(() -> OversizeExecution.this.refused(mPart.upstream(), reason));
        }

        @Override
        public void broken(AttemptEvent.BreakCause how) {
            mOwner.post(() -> take(new OversizeEvent.StepFailed(mPart.upstream(), how)));
        }

        /** Engines count what imported caches cover as cached; only the rest was not processed. */
        final long cachedHere(GenerationSummary summary) {
            return Math.max(0, summary.cachedTokens() - mPart.fromToken());
        }
    }

    /** Passes the answer on and then ends the run. */
    private final class AnswerListener extends PrefillListener {
        AnswerListener(OversizeStep.Generate step) {
            super(step, step.part());
        }

        @Override
        public void accepted() {
            if (!mClosed) {
                mListener.accepted();
            }
        }

        @Override
        public void token(long index, String text) {
            if (!mClosed) {
                mListener.token(index, text);
            }
        }

        @Override
        public void finished(GenerationSummary summary) {
            if (!mClosed) {
                mListener.finished(
                        new GenerationSummary(
                                summary.finishReason(),
                                summary.promptTokens(),
                                mCachedBefore.get() + cachedHere(summary),
                                summary.completionTokens()));
            }
            super.finished(summary);
        }
    }
}
