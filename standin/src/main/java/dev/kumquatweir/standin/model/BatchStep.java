package dev.kumquatweir.standin.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * One step of the batch: a token for each decoding request and a chunk of prefill shared by the
 * others in the order of their priority.
 *
 * @param decoding requests that get a token
 * @param prefill requests that get a part of the chunk
 * @param endNanos when the step ends
 */
record BatchStep(List<RunningAttempt> decoding, List<Chunk> prefill, long endNanos) {
    private static final Comparator<RunningAttempt> MOST_URGENT_FIRST =
            Comparator.comparingInt((RunningAttempt attempt) -> -attempt.mRequest.priority())
                    .thenComparingLong(attempt -> attempt.mOrder);

    /**
     * A part of the prefill.
     *
     * @param attempt the request
     * @param tokens prompt tokens processed in this step
     */
    record Chunk(RunningAttempt attempt, long tokens) {}

    /** Moves waiting requests into the batch while there is room, the most urgent first. */
    static void fillBatch(Collection<RunningAttempt> attempts, int maxRunning) {
        long running =
                attempts.stream().filter(attempt -> attempt.mInBatch && !attempt.mRetained).count();
        attempts.stream()
                .filter(attempt -> !attempt.mInBatch)
                .sorted(MOST_URGENT_FIRST)
                .limit(Math.max(0, maxRunning - running))
                .toList()
                .forEach(attempt -> attempt.mInBatch = true);
    }

    /** Plans the next step; it is empty if there is nothing to do. */
    static BatchStep plan(
            Collection<RunningAttempt> attempts, EngineSpeed speed, boolean cold, long startNanos) {
        List<RunningAttempt> batch =
                attempts.stream()
                        .filter(attempt -> attempt.mInBatch && !attempt.mRetained)
                        .sorted(MOST_URGENT_FIRST)
                        .toList();
        List<RunningAttempt> decoding = batch.stream().filter(RunningAttempt::decoding).toList();
        List<Chunk> prefill = new ArrayList<>();
        long budget = speed.prefillChunkTokens();
        for (RunningAttempt attempt : batch) {
            long tokens = Math.min(attempt.mPrefillLeft, budget);
            if (!attempt.decoding() && (tokens > 0 || attempt.prefillDone())) {
                prefill.add(new Chunk(attempt, tokens));
                budget -= tokens;
            }
        }
        long spent = speed.prefillChunkTokens() - budget;
        long endNanos = startNanos + speed.stepNanos(spent, decoding.size(), cold);
        return new BatchStep(decoding, prefill, endNanos);
    }

    boolean isEmpty() {
        return decoding.isEmpty() && prefill.isEmpty();
    }
}
