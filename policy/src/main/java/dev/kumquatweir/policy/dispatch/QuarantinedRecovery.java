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
 * Recovery policy that consults a {@link Quarantine} and delegates retry decisions to another
 * policy. Only requests to models are quarantined: calls of plain services are often identical
 * look-ups, and a call that must not be repeated is never sent again. Not thread-safe: owned by the
 * dispatch duty.
 */
public final class QuarantinedRecovery implements RecoveryPolicy {
    private final RecoveryPolicy mNext;
    private final Quarantine mQuarantine;

    /** Creates a policy that consults the quarantine before the next policy. */
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
        mQuarantine.attemptFinished(attempt, nowNanos);
        mNext.finished(request, attempt, nowNanos);
    }

    @Override
    public QuarantineDecision decide(WorkRequest request, int liveUpstreams, long nowNanos) {
        return quarantined(request)
                ? mQuarantine.decide(
                        request.contentHash(), request.sharedParts(), liveUpstreams, nowNanos)
                : new QuarantineDecision.RunUnrestricted();
    }

    @Override
    public Set<UpstreamId> reservedUpstreams(long nowNanos) {
        return mQuarantine.exclusiveUpstreams(nowNanos);
    }

    @Override
    public boolean reserve(WorkRequest request, UpstreamIncarnation incarnation, long nowNanos) {
        return mQuarantine.reserve(request.contentHash(), incarnation, nowNanos);
    }

    @Override
    public void release(UpstreamId upstream) {
        mQuarantine.release(upstream);
    }

    @Override
    public void started(
            WorkRequest request,
            AttemptId attempt,
            UpstreamIncarnation incarnation,
            FailureDomain domain,
            boolean alone,
            long nowNanos) {
        if (alone) {
            mQuarantine.attemptStartedAlone(attempt, request.contentHash(), incarnation, domain);
        } else if (quarantined(request)) {
            mQuarantine.attemptStarted(attempt, request.contentHash(), incarnation, domain);
        }
        mQuarantine.attemptShares(attempt, request.sharedParts(), nowNanos);
    }

    @Override
    public void attemptProgressed(AttemptId attempt, long tokens) {
        mQuarantine.attemptProgressed(attempt, tokens);
    }

    @Override
    public void lost(AttemptId attempt, AttemptEvent.BreakCause how, long nowNanos) {
        mQuarantine.attemptBroken(attempt, how, nowNanos);
    }

    @Override
    public void attemptCancelled(AttemptId attempt) {
        mQuarantine.attemptCancelled(attempt);
    }

    @Override
    public void upstreamAlive(UpstreamIncarnation incarnation, long nowNanos) {
        mQuarantine.upstreamAlive(incarnation, nowNanos);
    }

    @Override
    public void upstreamLeaving(UpstreamIncarnation incarnation, long nowNanos) {
        mQuarantine.upstreamLeaving(incarnation, nowNanos);
    }

    @Override
    public void upstreamTerminated(
            UpstreamIncarnation incarnation, FailureDomain domain, long nowNanos) {
        mQuarantine.upstreamTerminated(incarnation, domain, nowNanos);
    }

    @Override
    public void expire(long nowNanos) {
        mQuarantine.expire(nowNanos);
    }

    private static boolean quarantined(WorkRequest request) {
        return request.model() != null;
    }
}
