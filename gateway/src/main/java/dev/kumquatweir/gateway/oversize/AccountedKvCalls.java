package dev.kumquatweir.gateway.oversize;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.gateway.memory.HeldMemory;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.concurrent.CompletionStage;

/** Enters each export into {@link HeldMemory} until it is released or its answer is lost. */
public final class AccountedKvCalls implements KvCalls {
    private final KvCalls mNext;
    private final HeldMemory mHeld;

    /**
     * @param next carries the calls out
     * @param held where exports are entered
     */
    public AccountedKvCalls(KvCalls next, HeldMemory held) {
        mNext = next;
        mHeld = held;
    }

    @Override
    public CompletionStage<KvAnswer> export(Announcement engine, AttemptId attempt) {
        mHeld.exported(engine.id(), attempt.value());
        return mNext.export(engine, attempt)
                .thenApply(
                        answer -> {
                            if (answer instanceof KvAnswer.Done done) {
                                mHeld.exported(engine.id(), done.handle());
                            }
                            boolean named =
                                    answer instanceof KvAnswer.Done done
                                            && done.handle().equals(attempt.value());
                            if (!named) {
                                mHeld.exportEnded(engine.id(), attempt.value());
                            }
                            return answer;
                        });
    }

    @Override
    public CompletionStage<KvAnswer> importKv(
            Announcement target, String handle, Announcement source) {
        return mNext.importKv(target, handle, source);
    }

    @Override
    public CompletionStage<KvAnswer> release(Announcement engine, String handle) {
        mHeld.exportEnded(engine.id(), handle);
        return mNext.release(engine, handle);
    }
}
