package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.routing.AttemptReservation;
import dev.kumquatweir.policy.routing.UpstreamLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the current attempt of each running request and applies its events. Events of an attempt
 * that is no longer current arrived late or crossed a cancellation, and are ignored. Not
 * thread-safe: owned by the dispatch duty.
 */
final class AttemptTracker {
    private static final long AVOID_AFTER_BREAK_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** What the dispatcher does with a request after an event of its attempt. */
    sealed interface Outcome {
        /**
         * The attempt continues. Its first token shows that the upstream has capacity for more
         * work.
         */
        record Running(boolean firstToken) implements Outcome {}

        /** The request is queued for another attempt. */
        record Requeue(boolean ran) implements Outcome {}

        /** The request has ended with a complete answer. */
        record Done() implements Outcome {}

        /** The request fails. */
        record Failed(RequestFailure failure) implements Outcome {}
    }

    private final Map<AttemptId, TrackedRequest> mCurrent = new HashMap<>();
    private final RecoveryPolicy mRecovery;
    private final Placer mPlacer;
    private final WorkQueues mQueues;
    private final RateLearner mRateLearner;

    AttemptTracker(
            RecoveryPolicy recovery, Placer placer, WorkQueues queues, RateLearner rateLearner) {
        mRecovery = recovery;
        mPlacer = placer;
        mQueues = queues;
        mRateLearner = rateLearner;
    }

    /**
     * Registers the new current attempt of a request.
     *
     * @param alone whether its upstream is reserved for it
     */
    void started(TrackedRequest tracked, RunningAttempt attempt, boolean alone, long nowNanos) {
        mCurrent.put(attempt.mId, tracked);
        Announcement announcement = attempt.mPlacement.upstream().state().announcement();
        mRecovery.started(
                tracked.mRequest,
                attempt.mId,
                new UpstreamIncarnation(announcement.id(), announcement.incarnation()),
                announcement.domain(),
                alone,
                nowNanos);
        mQueues.held(tracked);
        tracked.mAvoidedUpstreams = Set.of();
    }

    /** Returns the request of a current attempt, null if the attempt is not current. */
    @Nullable TrackedRequest find(AttemptId attempt) {
        return mCurrent.get(attempt);
    }

    /** Returns the request that an attempt event belongs to, null if the attempt is not current. */
    @Nullable TrackedRequest find(AttemptEvent event) {
        return switch (event) {
            case AttemptEvent.Accepted accepted -> find(accepted.attempt());
            case AttemptEvent.Progress progress -> find(progress.attempt());
            case AttemptEvent.Refused refused -> find(refused.attempt());
            case AttemptEvent.Broken broken -> find(broken.attempt());
            case AttemptEvent.Finished finished -> find(finished.attempt());
            case AttemptEvent.CallerDisconnected gone -> null;
        };
    }

    /** Applies an event of the current attempt of a request. */
    Outcome observed(TrackedRequest tracked, AttemptEvent event, long nowNanos) {
        RunningAttempt attempt = tracked.mCurrent;
        if (attempt == null) {
            return new Outcome.Running(false);
        }
        return switch (event) {
            case AttemptEvent.Accepted accepted -> accepted(tracked, attempt, nowNanos);
            case AttemptEvent.Progress progress ->
                    progress(tracked, attempt, progress.tokens(), nowNanos);
            case AttemptEvent.Refused refused ->
                    refused(tracked, attempt, refused.reason(), nowNanos);
            case AttemptEvent.Broken broken -> broken(tracked, attempt, broken.cause(), nowNanos);
            case AttemptEvent.Finished finished ->
                    finished(tracked, attempt, finished.outputTokens(), nowNanos);
            case AttemptEvent.CallerDisconnected gone -> new Outcome.Running(false);
        };
    }

    /** Returns the requests with a current attempt. */
    List<TrackedRequest> running() {
        return new ArrayList<>(mCurrent.values());
    }

    /**
     * Returns the requests whose current attempt runs on an upstream or has reserved its memory.
     */
    List<TrackedRequest> using(UpstreamLoad load) {
        List<TrackedRequest> using = new ArrayList<>();
        for (TrackedRequest tracked : mCurrent.values()) {
            RunningAttempt attempt = tracked.mCurrent;
            if (attempt != null
                    && (attempt.mPlacement.upstream() == load
                            || attempt.mPlacement.partners().contains(load))) {
                using.add(tracked);
            }
        }
        return using;
    }

    /** Records that the upstream accepted the attempt. */
    private Outcome accepted(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        attempt.mAccepted = true;
        tracked.mMayHaveRun = true;
        attempt.mLastProgressNanos = nowNanos;
        return new Outcome.Running(false);
    }

    /** Records token progress. The count never decreases, so that no token is delivered twice. */
    private Outcome progress(
            TrackedRequest tracked, RunningAttempt attempt, long tokens, long nowNanos) {
        Outcome running = accepted(tracked, attempt, nowNanos);
        if (tokens <= tracked.mDeliveredTokens) {
            return running;
        }
        tracked.mDeliveredTokens = tokens;
        mRecovery.attemptProgressed(attempt.mId, tokens);
        if (!attempt.mFirstToken) {
            attempt.mFirstToken = true;
            attempt.mFirstTokenNanos = nowNanos;
            mRateLearner.firstToken(tracked, attempt, nowNanos);
            return new Outcome.Running(true);
        }
        return running;
    }

    /** Ends an attempt whose answer is complete. */
    private Outcome finished(
            TrackedRequest tracked, RunningAttempt attempt, long outputTokens, long nowNanos) {
        mRateLearner.finished(tracked, attempt, outputTokens, nowNanos);
        mRecovery.finished(tracked.mRequest, attempt.mId, nowNanos);
        end(tracked, attempt, nowNanos);
        return new Outcome.Done();
    }

    /** Ends an attempt that was refused. A refusal after acceptance is handled as a break. */
    private Outcome refused(
            TrackedRequest tracked,
            RunningAttempt attempt,
            AttemptEvent.RefusalReason reason,
            long nowNanos) {
        if (attempt.mAccepted) {
            return broken(tracked, attempt, AttemptEvent.BreakCause.UPSTREAM_ERROR, nowNanos);
        }
        UpstreamLoad load = attempt.mPlacement.upstream();
        switch (reason) {
            case CONNECTION_REFUSED, DRAINING ->
                    load.avoidUntil(nowNanos + AVOID_AFTER_BREAK_NANOS);
            case COLD_LIMIT -> load.recordColdRefusal();
            case MEMORY_FULL -> memoryRefused(attempt);
            case UNKNOWN_MODEL, NOT_SENT -> {
                // These reasons do not apply to other requests on this upstream.
            }
        }
        tracked.mRefusalCount++;
        mRecovery.attemptCancelled(attempt.mId);
        FailedAttempt failed = failed(tracked, attempt);
        end(tracked, attempt, nowNanos);
        boolean split = !attempt.mPlacement.partners().isEmpty();
        RecoveryPolicy.Decision decision =
                split && reason == AttemptEvent.RefusalReason.MEMORY_FULL
                        ? SplitRetryDelay.again(attempt.mId, tracked.mRefusalCount, nowNanos)
                        : mRecovery.refused(failed, reason, nowNanos);
        return toOutcome(tracked, decision, false);
    }

    /** Ends an attempt that broke off and may have executed in part. */
    Outcome broken(
            TrackedRequest tracked,
            RunningAttempt attempt,
            AttemptEvent.BreakCause how,
            long nowNanos) {
        tracked.mMayHaveRun = true;
        tracked.mBreakCount++;
        mRecovery.lost(attempt.mId, how, nowNanos);
        FailedAttempt failed = failed(tracked, attempt);
        if (how != AttemptEvent.BreakCause.UPSTREAM_ERROR) {
            attempt.mPlacement.upstream().avoidUntil(nowNanos + AVOID_AFTER_BREAK_NANOS);
        }
        end(tracked, attempt, nowNanos);
        if (!tracked.mRequest.repeatable()) {
            String problem = how.name().toLowerCase(Locale.ROOT);
            return new Outcome.Failed(
                    new RequestFailure.UpstreamFailed(
                            failed.upstream(), problem, Executed.UNKNOWN));
        }
        return toOutcome(tracked, mRecovery.broken(failed, how, nowNanos), true);
    }

    private static void memoryRefused(RunningAttempt attempt) {
        UpstreamLoad load = attempt.mPlacement.upstream();
        AttemptReservation hold = load.findReservation(attempt.mId);
        if (hold != null && attempt.mPlacement.partners().isEmpty()) {
            load.recordMemoryRefusal(hold.memoryTokens());
        }
    }

    /** Ends an attempt that the dispatcher cancels. */
    void abandon(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        mRecovery.attemptCancelled(attempt.mId);
        end(tracked, attempt, nowNanos);
    }

    private void end(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        mCurrent.remove(attempt.mId);
        tracked.mCurrent = null;
        mPlacer.release(attempt, nowNanos);
        mQueues.released(tracked);
    }

    private static Outcome toOutcome(
            TrackedRequest tracked, RecoveryPolicy.Decision decision, boolean ran) {
        return switch (decision) {
            case RecoveryPolicy.Decision.Again again -> {
                tracked.mNotBeforeNanos = again.notBeforeNanos();
                tracked.mAvoidedUpstreams = again.avoidedUpstreams();
                tracked.mAvoidedDomains = again.avoidedDomains();
                yield new Outcome.Requeue(ran);
            }
            case RecoveryPolicy.Decision.GiveUp giveUp -> new Outcome.Failed(giveUp.failure());
        };
    }

    private static FailedAttempt failed(TrackedRequest tracked, RunningAttempt attempt) {
        Announcement announcement = attempt.mPlacement.upstream().state().announcement();
        List<AttemptId> neighbours =
                attempt.mPlacement.upstream().reservations().stream()
                        .map(AttemptReservation::attempt)
                        .filter(id -> !id.equals(attempt.mId))
                        .toList();
        return new FailedAttempt(
                tracked.mRequest,
                attempt.mId,
                announcement.id(),
                announcement.incarnation(),
                announcement.domain(),
                tracked.mBreakCount,
                tracked.mRefusalCount,
                tracked.mDeliveredTokens,
                attempt.mAccepted,
                neighbours);
    }
}
