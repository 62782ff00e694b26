package dev.kumquatweir.gateway.memory;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.dispatch.PromptBlocks;
import dev.kumquatweir.gateway.dispatch.UpstreamCaller;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.registry.Announcement;

/** Enters each attempt on an engine into {@link HeldMemory} for as long as it is wanted. */
public final class AccountedCaller implements UpstreamCaller {
    private final UpstreamCaller mNext;
    private final HeldMemory mHeld;
    private final Clocks mClocks;

    /**
     * @param next sends the attempts
     * @param held where they are entered
     */
    public AccountedCaller(UpstreamCaller next, HeldMemory held, Clocks clocks) {
        mNext = next;
        mHeld = held;
        mClocks = clocks;
    }

    @Override
    public Runnable start(AttemptOrder order, AttemptListener listener) {
        if (!(order.work() instanceof Work.Generation generation)
                || order.upstream().kind() != UpstreamKind.ENGINE) {
            return mNext.start(order, listener);
        }
        AttemptId attempt = order.attempt();
        mHeld.started(
                attempt,
                order.upstream().id(),
                tokens(generation),
                () -> listener.broken(AttemptEvent.BreakCause.CONNECTION_LOST),
                mClocks.nowNanos());
        Runnable close = mNext.start(order, new Accounted(attempt, listener));
        return () -> {
            mHeld.ended(attempt);
            close.run();
        };
    }

    @Override
    public void cancel(Announcement upstream, AttemptId attempt) {
        mHeld.ended(attempt);
        mNext.cancel(upstream, attempt);
    }

    @Override
    public void replaceConnections(Announcement upstream) {
        mNext.replaceConnections(upstream);
    }

    private static long tokens(Work.Generation generation) {
        return PromptBlocks.tokens(generation.prompt()) + generation.maximumTokens();
    }

    /** Removes the attempt at its end. */
    private final class Accounted implements AttemptListener {
        private final AttemptId mAttempt;
        private final AttemptListener mListener;

        Accounted(AttemptId attempt, AttemptListener listener) {
            mAttempt = attempt;
            mListener = listener;
        }

        @Override
        public void accepted() {
            mListener.accepted();
        }

        @Override
        public void token(long index, String text) {
            mListener.token(index, text);
        }

        @Override
        public void finished(GenerationSummary summary) {
            mHeld.ended(mAttempt);
            mListener.finished(summary);
        }

        @Override
        public void answered(RecordedResponse answer) {
            mHeld.ended(mAttempt);
            mListener.answered(answer);
        }

        @Override
        public void refused(AttemptEvent.RefusalReason reason) {
            mHeld.ended(mAttempt);
            mListener.refused(reason);
        }

        @Override
        public void broken(AttemptEvent.BreakCause how) {
            mHeld.ended(mAttempt);
            mListener.broken(how);
        }
    }
}
