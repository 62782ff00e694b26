package dev.kumquatweir.standin.model;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Faults of the engine itself. They outlive a crash. Not thread-safe. */
public final class EngineFaults {
    private final Set<String> mCrashContents = new LinkedHashSet<>();
    private final Set<String> mAnswerCrashContents = new LinkedHashSet<>();
    private @Nullable EngineRefusal mRefusal;
    private boolean mHidesCold;
    private boolean mDropsCancels;

    /** Refuses all requests with a reason; null ends that. */
    public void refuseAll(@Nullable EngineRefusal refusal) {
        mRefusal = refusal;
    }

    /** Crashes in the prefill of each prompt that has this text; an empty text ends that. */
    public void crashOn(String content) {
        change(mCrashContents, content);
    }

    /**
     * Crashes when the answer to a prompt that has this text begins, in place of its first token;
     * an empty text ends that.
     */
    public void crashOnAnswer(String content) {
        change(mAnswerCrashContents, content);
    }

    /** Hides in load reports that the engine is cold. */
    public void hideCold(boolean hidden) {
        mHidesCold = hidden;
    }

    /** Takes cancels without a word and goes on; a closed connection cancels nothing either. */
    public void dropCancels(boolean drops) {
        mDropsCancels = drops;
    }

    /** Returns whether cancels have no effect. */
    public boolean dropsCancels() {
        return mDropsCancels;
    }

    @Nullable EngineRefusal refusal() {
        return mRefusal;
    }

    boolean crashesOn(String prompt) {
        return mCrashContents.stream().anyMatch(prompt::contains);
    }

    boolean crashesOnAnswer(String prompt) {
        return mAnswerCrashContents.stream().anyMatch(prompt::contains);
    }

    boolean hidesCold() {
        return mHidesCold;
    }

    private static void change(Set<String> contents, String content) {
        if (content.isEmpty()) {
            contents.clear();
        } else {
            contents.add(content);
        }
    }
}
