package dev.kumquatweir.policy.dispatch;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.quarantine.Quarantine;
import dev.kumquatweir.policy.quarantine.QuarantineDecision;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import java.util.Optional;
import java.util.Set;

/**
 * Puts a quarantine before another recovery policy. Only prompts are quarantined: calls of plain
 * services are often identical look-ups, and a call that may not be repeated is never sent again.
 * Not thread-safe: owned by the dispatch duty.
 */
public final class QuarantinedRecovery implements RecoveryPolicy {
    private final RecoveryPolicy mNext;
    private final Quarantine mQuarantine;

    /** Makes a policy that asks the quarantine first. */
    public QuarantinedRecovery(RecoveryPolicy next, Quarantine quarantine) {
        mNext = next;
        mQuarantine = quarantine;
    }

    @Override
    public Optional<RequestFailure> refusal(WorkRequest request, long nowNanos) {
        if (decide(request, 0, nowNanos) instanceof QuarantineDecision.Refuse refused) {
            return Optional.of(refused.failure());
        }
        return mNext.refusal(request, nowNanos);
    }

    @Override
    public void admitted(WorkRequest request, long nowNanos) {
        mNext.admitted(request, nowNanos);
    }

    @Override
    public Decision refused(
            FailedAttempt attempt, AttemptEvent.RefusalReason reason, long nowNanos) {
        return mNext.refused(attempt, reason, nowNanos);
    }

    @Override
    public Decision broken(FailedAttempt attempt, AttemptEvent.BreakCause how, long nowNanos) {
        return mNext.broken(attempt, how, nowNanos);
    }

    @Override
    public void finished(WorkRequest request, AttemptId attempt, long nowNanos) {
        mQuarantine.attemptFinished(attempt);
        mNext.finished(request, attempt, nowNanos);
    }

    @Override
    public QuarantineDecision decide(WorkRequest request, int liveUpstreams, long nowNanos) {
        return quarantined(request)
                ? mQuarantine.decide(request.contentHash(), liveUpstreams, nowNanos)
                : new QuarantineDecision.RunUnrestricted();
    }

    @Override
    public Set<UpstreamId> closedUpstreams(long nowNanos) {
        return mQuarantine.exclusiveUpstreams(nowNanos);
    }

    @Override
    public boolean reserve(WorkRequest request, UpstreamIncarnation place, long nowNanos) {
        return mQuarantine.reserve(request.contentHash(), place, nowNanos);
    }

    @Override
    public void release(UpstreamId upstream) {
        mQuarantine.release(upstream);
    }

    @Override
    public void started(
            WorkRequest request,
            AttemptId attempt,
            UpstreamIncarnation place,
            FailureDomain domain,
            boolean alone) {
        if (alone) {
            mQuarantine.attemptStartedAlone(attempt, request.contentHash(), place, domain);
        } else if (quarantined(request)) {
            mQuarantine.attemptStarted(attempt, request.contentHash(), place, domain);
        }
    }

    @Override
    public void progressed(AttemptId attempt, long tokens) {
        mQuarantine.attemptProgressed(attempt, tokens);
    }

    @Override
    public void lost(AttemptId attempt, AttemptEvent.BreakCause how, long nowNanos) {
        mQuarantine.attemptBroken(attempt, how, nowNanos);
    }

    @Override
    public void cancelled(AttemptId attempt) {
        mQuarantine.attemptCancelled(attempt);
    }

    @Override
    public void alive(UpstreamIncarnation place, long nowNanos) {
        mQuarantine.upstreamAlive(place, nowNanos);
    }

    @Override
    public void leaving(UpstreamIncarnation place, long nowNanos) {
        mQuarantine.upstreamLeaving(place, nowNanos);
    }

    @Override
    public void died(UpstreamIncarnation place, FailureDomain domain, long nowNanos) {
        mQuarantine.upstreamTerminated(place, domain, nowNanos);
    }

    @Override
    public void expire(long nowNanos) {
        mQuarantine.expire(nowNanos);
    }

    private static boolean quarantined(WorkRequest request) {
        return request.model() != null;
    }
}
