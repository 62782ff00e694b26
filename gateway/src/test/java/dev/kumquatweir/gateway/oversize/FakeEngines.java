package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.dispatch.PromptBlocks;
import dev.kumquatweir.gateway.dispatch.UpstreamCaller;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

/** Engines that answer at once and remember what they hold; one call of one engine may fail. */
final class FakeEngines implements UpstreamCaller, KvCalls {
    /** How the chosen call fails. */
    enum Fault {
        MEMORY_FULL,
        CONNECTION_LOST,
        /** The engine does what it is asked, but its answer is lost. */
        ANSWER_LOST,
        REFUSED,
        /** The answer does not come until it is let go. */
        HELD
    }

    final List<AttemptOrder> mOrders = new ArrayList<>();
    final Set<String> mHeld = ConcurrentHashMap.newKeySet();
    final CompletableFuture<Void> mGate = new CompletableFuture<>();
    private String mFaultCall = "";
    private Fault mFault = Fault.REFUSED;
    private Runnable mBefore = () -> {};

    /** Makes one call fail, such as "export engine-2"; its repetition works. */
    void fail(String call, Fault fault) {
        mFaultCall = call;
        mFault = fault;
    }

    /** Runs a task when this call comes, before it is carried out. */
    void before(String call, Runnable task) {
        mFaultCall = call;
        mBefore = task;
        mFault = Fault.HELD;
        mGate.complete(null);
    }

    @Override
    public synchronized Runnable start(AttemptOrder order, AttemptListener listener) {
        mOrders.add(order);
        String held = "attempt " + order.attempt() + " on " + order.upstream().id();
        if (faulty("generate", order.upstream())) {
            if (mFault == Fault.MEMORY_FULL) {
                listener.refused(AttemptEvent.RefusalReason.MEMORY_FULL);
                return () -> {};
            }
            if (mFault == Fault.CONNECTION_LOST) {
                listener.accepted();
                if (order.attempt().value().equals("whole")) {
                    listener.token(order.resumeOffset(), "half ");
                }
                listener.broken(AttemptEvent.BreakCause.CONNECTION_LOST);
                return () -> {};
            }
            mHeld.add(held);
            CompletionStage<Void> gate = mGate;
            gate.thenRun(() -> answer(order, held, listener));
            return () -> mHeld.remove(held);
        }
        mHeld.add(held);
        answer(order, held, listener);
        return () -> mHeld.remove(held);
    }

    private void answer(AttemptOrder order, String held, AttemptListener listener) {
        Work.Generation work = (Work.Generation) order.work();
        listener.accepted();
        long tokens = PromptBlocks.tokens(work.prompt());
        if (work.maximumTokens() > 0) {
            listener.token(order.resumeOffset(), "word ");
            mHeld.remove(held);
        }
        listener.finished(new GenerationSummary("stop", tokens, tokens - 1, 1));
    }

    @Override
    public void cancel(Announcement upstream, AttemptId attempt) {
        mHeld.remove("attempt " + attempt + " on " + upstream.id());
    }

    @Override
    public void replaceConnections(Announcement upstream) {}

    @Override
    public synchronized CompletionStage<KvAnswer> export(Announcement engine, AttemptId attempt) {
        boolean faulty = faulty("export", engine);
        if (faulty && mFault == Fault.REFUSED) {
            return answer(new KvAnswer.Refused("unknown_attempt"));
        }
        String export = "export " + attempt + " on " + engine.id();
        if (!mHeld.remove("attempt " + attempt + " on " + engine.id()) && !mHeld.contains(export)) {
            return answer(new KvAnswer.Refused("unknown_attempt"));
        }
        mHeld.add(export);
        return ended(faulty, new KvAnswer.Done(attempt.value()));
    }

    @Override
    public synchronized CompletionStage<KvAnswer> importKv(
            Announcement target, String handle, Announcement source) {
        boolean faulty = faulty("import", target);
        if (faulty && mFault == Fault.REFUSED) {
            return answer(new KvAnswer.Refused("unknown_handle"));
        }
        mHeld.add("import " + handle + " on " + target.id());
        return ended(faulty, new KvAnswer.Done(handle));
    }

    @Override
    public synchronized CompletionStage<KvAnswer> release(Announcement engine, String handle) {
        if (faulty("release", engine)) {
            return answer(new KvAnswer.Unknown("timeout"));
        }
        mHeld.remove("export " + handle + " on " + engine.id());
        mHeld.remove("import " + handle + " on " + engine.id());
        return answer(new KvAnswer.Done(handle));
    }

    private CompletionStage<KvAnswer> ended(boolean faulty, KvAnswer done) {
        if (faulty && mFault == Fault.HELD) {
            return mGate.thenApply(none -> done);
        }
        return answer(faulty ? new KvAnswer.Unknown("timeout") : done);
    }

    /** Returns whether the call that was chosen to fail has come. */
    synchronized boolean reached() {
        return mFaultCall.isEmpty();
    }

    private boolean faulty(String call, Announcement engine) {
        boolean faulty = mFaultCall.equals(call + " " + engine.id());
        if (faulty) {
            mFaultCall = "";
            mBefore.run();
        }
        return faulty;
    }

    private static CompletionStage<KvAnswer> answer(KvAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }
}
