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
 * The current attempts of an instance. Only a current attempt can change its request: events of
 * others are late or crossed and are ignored. Not thread-safe: owned by the dispatch duty.
 */
final class Attempts {
    private static final long AVOID_AFTER_BREAK_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** What follows from the end of an attempt. */
    sealed interface Sequel {
        /** The attempt goes on; its first token shows that the upstream may take more. */
        record Running(boolean firstToken) implements Sequel {}

        /** The request waits for another upstream. */
        record Requeue(boolean ran) implements Sequel {}

        /** The request has ended with a whole answer. */
        record Done() implements Sequel {}

        /** The request fails. */
        record Failed(RequestFailure failure) implements Sequel {}
    }

    private final Map<AttemptId, TrackedRequest> mCurrent = new HashMap<>();
    private final RecoveryPolicy mRecovery;
    private final Placer mPlacer;
    private final WorkQueues mQueues;
    private final RateLearner mRateLearner;

    Attempts(RecoveryPolicy recovery, Placer placer, WorkQueues queues, RateLearner rateLearner) {
        mRecovery = recovery;
        mPlacer = placer;
        mQueues = queues;
        mRateLearner = rateLearner;
    }

    /**
     * Notes the new current attempt of a request.
     *
     * @param alone whether its upstream runs nothing else
     */
    void started(TrackedRequest tracked, RunningAttempt attempt, boolean alone) {
        mCurrent.put(attempt.mId, tracked);
        Announcement announcement = attempt.mPlacement.upstream().state().announcement();
        mRecovery.started(
                tracked.mRequest,
                attempt.mId,
                new UpstreamIncarnation(announcement.id(), announcement.incarnation()),
                announcement.domain(),
                alone);
        mQueues.held(tracked);
        tracked.mAvoidedUpstreams = Set.of();
    }

    /** Returns the request whose current attempt this is, null if it is not current. */
    @Nullable TrackedRequest find(AttemptId attempt) {
        return mCurrent.get(attempt);
    }

    /** Returns the request whose current attempt an event is about, null if it is not current. */
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

    /** Takes an event of the current attempt of a request. */
    Sequel observed(TrackedRequest tracked, AttemptEvent event, long nowNanos) {
        RunningAttempt attempt = tracked.mCurrent;
        if (attempt == null) {
            return new Sequel.Running(false);
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
            case AttemptEvent.CallerDisconnected gone -> new Sequel.Running(false);
        };
    }

    /** Returns the requests with a current attempt. */
    List<TrackedRequest> running() {
        return new ArrayList<>(mCurrent.values());
    }

    /** Returns the requests whose current attempt runs on an upstream or uses its memory. */
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

    /** Takes note that the upstream has taken the attempt. */
    private Sequel accepted(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        attempt.mAccepted = true;
        tracked.mMayHaveRun = true;
        attempt.mProgressNanos = nowNanos;
        return new Sequel.Running(false);
    }

    /** Takes note of tokens. The count never goes back, so that no token is sent twice. */
    private Sequel progress(
            TrackedRequest tracked, RunningAttempt attempt, long tokens, long nowNanos) {
        Sequel running = accepted(tracked, attempt, nowNanos);
        if (tokens <= tracked.mCallerTokens) {
            return running;
        }
        tracked.mCallerTokens = tokens;
        mRecovery.progressed(attempt.mId, tokens);
        if (!attempt.mFirstToken) {
            attempt.mFirstToken = true;
            attempt.mFirstTokenNanos = nowNanos;
            mRateLearner.firstToken(tracked, attempt, nowNanos);
            return new Sequel.Running(true);
        }
        return running;
    }

    /** Ends an attempt with a whole answer. */
    private Sequel finished(
            TrackedRequest tracked, RunningAttempt attempt, long outputTokens, long nowNanos) {
        mRateLearner.finished(tracked, attempt, outputTokens, nowNanos);
        mRecovery.finished(tracked.mRequest, attempt.mId, nowNanos);
        end(tracked, attempt, nowNanos);
        return new Sequel.Done();
    }

    /** Ends an attempt that the upstream did not take. */
    private Sequel refused(
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
                // Says nothing of other requests on this upstream.
            }
        }
        tracked.mRefusals++;
        mRecovery.cancelled(attempt.mId);
        FailedAttempt failed = failed(tracked, attempt);
        end(tracked, attempt, nowNanos);
        boolean split = !attempt.mPlacement.partners().isEmpty();
        RecoveryPolicy.Decision decision =
                split && reason == AttemptEvent.RefusalReason.MEMORY_FULL
                        ? SplitDelay.again(attempt.mId, tracked.mRefusals, nowNanos)
                        : mRecovery.refused(failed, reason, nowNanos);
        return sequel(tracked, decision, false);
    }

    /** Ends an attempt that broke off and may have run in part. */
    Sequel broken(
            TrackedRequest tracked,
            RunningAttempt attempt,
            AttemptEvent.BreakCause how,
            long nowNanos) {
        tracked.mMayHaveRun = true;
        tracked.mBreaks++;
        mRecovery.lost(attempt.mId, how, nowNanos);
        FailedAttempt failed = failed(tracked, attempt);
        if (how != AttemptEvent.BreakCause.UPSTREAM_ERROR) {
            attempt.mPlacement.upstream().avoidUntil(nowNanos + AVOID_AFTER_BREAK_NANOS);
        }
        end(tracked, attempt, nowNanos);
        if (!tracked.mRequest.repeatable()) {
            String problem = how.name().toLowerCase(Locale.ROOT);
            return new Sequel.Failed(
                    new RequestFailure.UpstreamFailed(
                            failed.upstream(), problem, Executed.UNKNOWN));
        }
        return sequel(tracked, mRecovery.broken(failed, how, nowNanos), true);
    }

    private static void memoryRefused(RunningAttempt attempt) {
        UpstreamLoad load = attempt.mPlacement.upstream();
        AttemptReservation hold = load.findReservation(attempt.mId);
        if (hold != null && attempt.mPlacement.partners().isEmpty()) {
            load.recordMemoryRefusal(hold.memoryTokens());
        }
    }

    /** Ends an attempt that the policy itself gives up. */
    void abandon(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        mRecovery.cancelled(attempt.mId);
        end(tracked, attempt, nowNanos);
    }

    private void end(TrackedRequest tracked, RunningAttempt attempt, long nowNanos) {
        mCurrent.remove(attempt.mId);
        tracked.mCurrent = null;
        mPlacer.release(attempt, nowNanos);
        mQueues.released(tracked);
    }

    private static Sequel sequel(
            TrackedRequest tracked, RecoveryPolicy.Decision decision, boolean ran) {
        return switch (decision) {
            case RecoveryPolicy.Decision.Again again -> {
                tracked.mNotBeforeNanos = again.notBeforeNanos();
                tracked.mAvoidedUpstreams = again.avoidedUpstreams();
                tracked.mAvoidedDomains = again.avoidedDomains();
                yield new Sequel.Requeue(ran);
            }
            case RecoveryPolicy.Decision.GiveUp giveUp -> new Sequel.Failed(giveUp.failure());
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
                tracked.mBreaks,
                tracked.mRefusals,
                tracked.mCallerTokens,
                attempt.mAccepted,
                neighbours);
    }
}
