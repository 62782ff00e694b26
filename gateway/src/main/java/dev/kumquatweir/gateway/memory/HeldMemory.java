package dev.kumquatweir.gateway.memory;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * What this instance needs on engines now. Whatever runs on an engine under an id of this instance
 * and is not here is taken for forgotten and ended after the grace time, so each attempt has to be
 * entered before it is sent. Kept in a map instead of passed through a ring, since an entry that
 * was shed would cost a running answer. Thread-safe.
 */
public final class HeldMemory {
    private final ConcurrentMap<AttemptId, Holding> mAttempts = new ConcurrentHashMap<>();
    private final Set<Export> mExports = ConcurrentHashMap.newKeySet();
    private final Set<UpstreamId> mTouched = ConcurrentHashMap.newKeySet();

    /**
     * An attempt of this instance.
     *
     * @param upstream the engine
     * @param tokens memory that it may take there
     * @param sinceNanos when it was entered
     * @param onMissing run if the engine does not know the attempt any more
     */
    record Holding(UpstreamId upstream, long tokens, long sinceNanos, Runnable onMissing) {}

    /**
     * A KV export of this instance.
     *
     * @param upstream the engine
     * @param handle its handle
     */
    record Export(UpstreamId upstream, String handle) {}

    /**
     * Enters an attempt that is about to be sent.
     *
     * @param onMissing run on another thread if the engine does not know the attempt any more
     */
    public void started(
            AttemptId attempt,
            UpstreamId upstream,
            long tokens,
            Runnable onMissing,
            long nowNanos) {
        mAttempts.put(attempt, new Holding(upstream, tokens, nowNanos, onMissing));
        mTouched.add(upstream);
    }

    /** Removes an attempt that is not needed any more, however it ended. */
    public void ended(AttemptId attempt) {
        Holding ended = mAttempts.remove(attempt);
        if (ended != null) {
            mTouched.add(ended.upstream());
        }
    }

    /** Enters a KV export, or one that is about to be asked for. */
    public void exported(UpstreamId upstream, String handle) {
        mExports.add(new Export(upstream, handle));
        mTouched.add(upstream);
    }

    /** Removes a KV export that is not needed any more, released or not. */
    public void exportEnded(UpstreamId upstream, String handle) {
        mExports.remove(new Export(upstream, handle));
        mTouched.add(upstream);
    }

    Map<AttemptId, Holding> attempts() {
        return Map.copyOf(mAttempts);
    }

    /** Returns the handles of the exports that are needed on an engine. */
    Set<String> exportsOn(UpstreamId upstream) {
        return mExports.stream()
                .filter(export -> export.upstream().equals(upstream))
                .map(Export::handle)
                .collect(Collectors.toSet());
    }

    @Nullable Holding find(AttemptId attempt) {
        return mAttempts.get(attempt);
    }

    /** Returns the engines on which something began or ended since the last call. */
    Set<UpstreamId> takeTouched() {
        Set<UpstreamId> touched = new HashSet<>(mTouched);
        mTouched.removeAll(touched);
        return touched;
    }
}
