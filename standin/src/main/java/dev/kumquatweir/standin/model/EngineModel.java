package dev.kumquatweir.standin.model;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * A simulated engine: continuous batching with chunked prefill, priorities, a prefix cache and KV
 * cache memory. Pure: no I/O, no clock; times are monotonic nanoseconds of one clock.
 *
 * <p>Memory is reserved for the whole request when it is accepted, so an accepted request is never
 * preempted. Not thread-safe.
 */
public final class EngineModel {
    /** Work missed in a pause of the process is not made up for beyond this time. */
    private static final long CATCH_UP_NANOS = 50_000_000;

    private static final int REMEMBERED_ATTEMPTS = 100_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EngineLimits mLimits;
    private final EngineSpeed mSpeed;
    private final Map<String, RunningAttempt> mAttempts = new LinkedHashMap<>();
    private final Set<String> mSeenAttempts = new LinkedHashSet<>();
    private final Set<String> mModels = new LinkedHashSet<>();
    private final PrefixCache mCache = new PrefixCache();
    private final KvStore mKvStore = new KvStore();
    private final EngineFaults mFaults = new EngineFaults();
    private long mReservedTokens;
    private long mNextOrder;
    private boolean mCold;
    private long mWarmNanos;
    private @Nullable BatchStep mStep;
    private @Nullable String mPendingCrash;

    /**
     * Makes an idle, warm engine.
     *
     * @param limits what it can hold and handle
     * @param speed how fast it works
     * @param models models that it has loaded
     */
    public EngineModel(EngineLimits limits, EngineSpeed speed, Collection<String> models) {
        mLimits = limits;
        mSpeed = speed;
        mModels.addAll(models);
    }

    /** Returns the faults that are switched on. */
    public EngineFaults faults() {
        return mFaults;
    }

    /** Returns the names of the loaded models. The view changes with the engine. */
    public Set<String> models() {
        return mModels;
    }

    /** Makes the engine cold or warm. */
    public void setCold(boolean cold, long nowNanos) {
        mCold = cold;
        mWarmNanos = nowNanos + mSpeed.scaledNanos(mLimits.coldMillis());
    }

    /** Accepts a request or refuses it before any work. */
    public Either<EngineRefusal, GenerateRequest> submit(GenerateRequest request, long nowNanos) {
        long seed = StandinTokens.seed(request.prompt());
        EngineRefusal refusal = refusal(request, seed);
        if (refusal != null) {
            return Either.left(refusal);
        }
        long held = heldElsewhere(request);
        long prompt = StandinTokens.promptTokens(request.prompt());
        long needed = Math.max(0, prompt - held) + request.maxTokens();
        if (needed > freeTokens()) {
            return Either.left(EngineRefusal.MEMORY_FULL);
        }
        long cached = Math.min(prompt, Math.max(held, mCache.lookUp(request.prefixHashes())));
        boolean beyondColdLimit = mCold && exceedsColdLimit(prompt - cached);
        if (beyondColdLimit && mLimits.refusesBeyondColdLimit()) {
            return Either.left(EngineRefusal.COLD_LIMIT);
        }
        if (beyondColdLimit) {
            mPendingCrash = "cold_overload";
        }
        long deadline =
                request.deadlineMs() <= 0
                        ? Long.MAX_VALUE
                        : nowNanos + request.deadlineMs() * NANOS_PER_MILLI;
        remember(request.attempt());
        mReservedTokens += needed;
        mCache.shrink(freeTokens());
        mAttempts.put(
                request.attempt(),
                new RunningAttempt(request, seed, mNextOrder++, cached, needed, deadline));
        return Either.right(request);
    }

    /**
     * Ends an attempt and frees its memory.
     *
     * @return false if it is not here
     */
    public boolean cancel(String attempt) {
        RunningAttempt running = mAttempts.get(attempt);
        if (running == null) {
            return false;
        }
        remove(running);
        return true;
    }

    /** Carries out all steps that end by now and returns what happened, in order. */
    public List<EngineEvent> advance(long nowNanos) {
        List<EngineEvent> events = new ArrayList<>();
        if (mCold && mLimits.coldMillis() > 0 && nowNanos - mWarmNanos >= 0) {
            mCold = false;
        }
        dropOverdue(nowNanos, events);
        long start = nowNanos;
        while (mPendingCrash == null) {
            BatchStep step = mStep == null ? beginStep(start) : mStep;
            if (step == null || step.endNanos() - nowNanos > 0) {
                break;
            }
            mStep = null;
            finishStep(step, events);
            start = Math.max(step.endNanos(), nowNanos - CATCH_UP_NANOS);
        }
        if (mPendingCrash != null) {
            events.add(new EngineEvent.Crashed(mPendingCrash));
            crash();
        }
        return events;
    }

    /**
     * Exports the KV cache of an attempt whose prefill has ended. An attempt of prefill only ends
     * with its export; another one goes on and the export takes memory of its own.
     */
    public Either<EngineRefusal, KvHandle> export(String attempt) {
        String handle = attempt + "/kv";
        if (mKvStore.knows(handle)) {
            return Either.right(new KvHandle(handle, mKvStore.tokens(handle)));
        }
        RunningAttempt running = mAttempts.get(attempt);
        if (running == null || !running.prefillDone()) {
            return Either.left(EngineRefusal.UNKNOWN_ATTEMPT);
        }
        long tokens = Math.max(0, running.mPromptTokens - heldElsewhere(running.mRequest));
        if (running.mRetained) {
            remove(running);
        } else if (tokens > freeTokens()) {
            return Either.left(EngineRefusal.MEMORY_FULL);
        }
        mKvStore.export(handle, tokens);
        mCache.shrink(freeTokens());
        return Either.right(new KvHandle(handle, tokens));
    }

    /** Takes a reference to an export of another engine; it needs no memory here. */
    public void include(KvHandle handle) {
        mKvStore.include(handle.handle(), handle.tokens());
    }

    /**
     * Releases an export or an import.
     *
     * @return false if the handle is not known
     */
    public boolean release(String handle) {
        return mKvStore.release(handle);
    }

    /** Returns the exports with their lengths in tokens. */
    public List<KvHandle> exports() {
        return mKvStore.exports().entrySet().stream()
                .map(entry -> new KvHandle(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Returns the memory that each attempt holds, in tokens. */
    public Map<String, Long> heldMemory() {
        Map<String, Long> held = new LinkedHashMap<>();
        mAttempts.forEach((name, attempt) -> held.put(name, attempt.mReservedTokens));
        return held;
    }

    /** Returns the load now. */
    public EngineLoad load() {
        int running = (int) live().filter(attempt -> attempt.mInBatch).count();
        int queued = (int) live().filter(attempt -> !attempt.mInBatch).count();
        return new EngineLoad(
                running,
                queued,
                mReservedTokens + mKvStore.exportedTokens(),
                prefillBacklog(),
                mCold && !mFaults.hidesCold());
    }

    /** Returns the changes of the prefix cache since the last call. */
    public List<CacheChange> takeCacheChanges() {
        return mCache.takeChanges();
    }

    /** Returns the whole prefix cache. */
    public List<CacheChange> cacheEntries() {
        return mCache.entries();
    }

    /** Loses all attempts and all memory contents, as a crash does. */
    public void crash() {
        mAttempts.clear();
        mSeenAttempts.clear();
        mCache.clear();
        mKvStore.clear();
        mReservedTokens = 0;
        mStep = null;
        mPendingCrash = null;
    }

    private @Nullable EngineRefusal refusal(GenerateRequest request, long seed) {
        if (mFaults.refusal() != null) {
            return mFaults.refusal();
        }
        if (!mModels.contains(request.model())) {
            return EngineRefusal.UNKNOWN_MODEL;
        }
        if (mSeenAttempts.contains(request.attempt())) {
            return EngineRefusal.DUPLICATE_ATTEMPT;
        }
        if (request.kvHandles().stream().anyMatch(handle -> !mKvStore.knows(handle))) {
            return EngineRefusal.UNKNOWN_HANDLE;
        }
        if (request.maxTokens() < 0 || request.priority() < 0) {
            return EngineRefusal.MALFORMED;
        }
        GenerateRequest.Resume resume = request.resume();
        boolean matches =
                resume == null
                        || (resume.text().length()
                                        == resume.offset() * StandinTokens.TOKEN_CHARACTERS
                                && resume.text()
                                        .equals(StandinTokens.answer(seed, resume.offset())));
        return matches ? null : EngineRefusal.RESUME_MISMATCH;
    }

    private @Nullable BatchStep beginStep(long startNanos) {
        BatchStep.fillBatch(mAttempts.values(), mLimits.maxRunning());
        BatchStep step = BatchStep.plan(mAttempts.values(), mSpeed, mCold, startNanos);
        mStep = step.isEmpty() ? null : step;
        return mStep;
    }

    private void finishStep(BatchStep step, List<EngineEvent> events) {
        for (BatchStep.Chunk chunk : step.prefill()) {
            if (isHere(chunk.attempt())) {
                if (mFaults.crashesOn(chunk.attempt().mRequest.prompt())) {
                    mPendingCrash = "content";
                    return;
                }
                finishChunk(chunk, step.endNanos(), events);
            }
        }
        for (RunningAttempt attempt : step.decoding()) {
            if (isHere(attempt)) {
                if (attempt.beginsAnswer() && mFaults.crashesOnAnswer(attempt.mRequest.prompt())) {
                    mPendingCrash = "content";
                    return;
                }
                long index = attempt.mNextIndex++;
                String text = StandinTokens.text(attempt.mSeed, index);
                events.add(new EngineEvent.Token(attempt.mRequest.attempt(), index, text));
                finishIfDone(attempt, step.endNanos(), events);
            }
        }
    }

    private void finishChunk(BatchStep.Chunk chunk, long nowNanos, List<EngineEvent> events) {
        RunningAttempt attempt = chunk.attempt();
        attempt.mPrefillLeft -= chunk.tokens();
        if (attempt.prefillDone()) {
            mCache.store(attempt.mRequest.prefixHashes(), freeTokens());
            finishIfDone(attempt, nowNanos, events);
        }
    }

    private void finishIfDone(RunningAttempt attempt, long nowNanos, List<EngineEvent> events) {
        if (!attempt.answerDone()) {
            return;
        }
        events.add(attempt.finished());
        if (attempt.mRequest.maxTokens() == 0) {
            attempt.mRetained = true;
            attempt.mRetainedUntilNanos = nowNanos + mSpeed.scaledNanos(mLimits.retainMillis());
        } else {
            remove(attempt);
            mCache.store(attempt.mRequest.prefixHashes(), freeTokens());
        }
    }

    private void dropOverdue(long nowNanos, List<EngineEvent> events) {
        for (RunningAttempt attempt : List.copyOf(mAttempts.values())) {
            if (attempt.mRetained && nowNanos - attempt.mRetainedUntilNanos >= 0) {
                remove(attempt);
            } else if (!attempt.mRetained && nowNanos >= attempt.mDeadlineNanos) {
                remove(attempt);
                String name = attempt.mRequest.attempt();
                events.add(new EngineEvent.Aborted(name, "deadline_exceeded"));
            }
        }
    }

    private void remove(RunningAttempt attempt) {
        mAttempts.remove(attempt.mRequest.attempt());
        mReservedTokens -= attempt.mReservedTokens;
    }

    private boolean isHere(RunningAttempt attempt) {
        return mAttempts.get(attempt.mRequest.attempt()) == attempt;
    }

    private void remember(String attempt) {
        mSeenAttempts.add(attempt);
        if (mSeenAttempts.size() > REMEMBERED_ATTEMPTS) {
            mSeenAttempts.remove(mSeenAttempts.iterator().next());
        }
    }

    private boolean exceedsColdLimit(long prefillTokens) {
        return live().count() + 1 > mLimits.coldRequests()
                || prefillBacklog() + prefillTokens > mLimits.coldPrefillTokens();
    }

    private long heldElsewhere(GenerateRequest request) {
        return request.kvHandles().stream().mapToLong(mKvStore::tokens).sum();
    }

    private long freeTokens() {
        return mLimits.memoryTokens() - mReservedTokens - mKvStore.exportedTokens();
    }

    private long prefillBacklog() {
        return live().mapToLong(attempt -> attempt.mPrefillLeft).sum();
    }

    private Stream<RunningAttempt> live() {
        return mAttempts.values().stream().filter(attempt -> !attempt.mRetained);
    }
}
