package dev.kumquatweir.agreement.state;

import dev.kumquatweir.agreement.state.ClaimRecord.Phase;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Claims on non-repeatable requests, bounded in number and bytes. Deterministic: the same commands
 * give the same state on each replica. Owned and called by the {@link StateMachine}; not
 * thread-safe.
 */
final class ClaimTable {
    private final StateLimits mLimits;
    private final InstanceTable mInstances;
    private final NavigableMap<ClaimKey, ClaimRecord> mClaims = new TreeMap<>();
    private long mResponseBytes;
    private @Nullable ClaimKey mExpiryCursor;

    ClaimTable(StateLimits limits, InstanceTable instances) {
        mLimits = limits;
        mInstances = instances;
    }

    NavigableMap<ClaimKey, ClaimRecord> claims() {
        return mClaims;
    }

    long responseBytes() {
        return mResponseBytes;
    }

    Optional<ClaimKey> expiryCursor() {
        return Optional.ofNullable(mExpiryCursor);
    }

    void restore(Map<ClaimKey, ClaimRecord> claims, Optional<ClaimKey> cursor) {
        claims.forEach(this::put);
        mExpiryCursor = cursor.orElse(null);
    }

    StateResult claim(StateCommand.Claim command, long nowMillis) {
        if (!mInstances.isCurrent(command.claimant())) {
            return new StateResult.ClaimRefused(StateResult.ClaimRefusalReason.STALE_INCARNATION);
        }
        ClaimRecord existing = mClaims.get(command.key());
        if (existing == null) {
            return mClaims.size() >= mLimits.claims()
                    ? new StateResult.ClaimRefused(StateResult.ClaimRefusalReason.FULL)
                    : grant(command, nowMillis);
        }
        if (existing.phase() == Phase.ABANDONED) {
            // A resent claim of the abandoned request may still reach the log after the
            // abandonment.
            return existing.claimant().equals(command.claimant())
                    ? new StateResult.ClaimRefused(StateResult.ClaimRefusalReason.ABANDONED)
                    : grant(command, nowMillis);
        }
        if (!existing.requestHash().equals(command.requestHash())) {
            return new StateResult.ClaimKeyReused();
        }
        if (existing.response() != null) {
            return new StateResult.ClaimFinished(existing.response());
        }
        if (isUnknown(existing, nowMillis)) {
            return new StateResult.ClaimUnknown();
        }
        // A claimant that lost the first reply resends the same command.
        return existing.claimant().equals(command.claimant())
                ? new StateResult.ClaimGranted(existing.deadlineMillis())
                : new StateResult.ClaimRunning();
    }

    StateResult recordOutcome(StateCommand.RecordOutcome command, long nowMillis) {
        ClaimRecord existing = mClaims.get(command.key());
        if (existing == null) {
            return command.outcome() instanceof ClaimOutcome.NotExecuted
                    ? abandonBeforeClaim(command, nowMillis)
                    : new StateResult.OutcomeRefused();
        }
        if (!existing.claimant().equals(command.claimant())) {
            return new StateResult.OutcomeRefused();
        }
        return switch (command.outcome()) {
            case ClaimOutcome.Finished(RecordedResponse response) ->
                    endClaim(command.key(), existing, Phase.FINISHED, response, nowMillis);
            case ClaimOutcome.Unknown() ->
                    endClaim(command.key(), existing, Phase.UNKNOWN, null, nowMillis);
            case ClaimOutcome.NotExecuted() ->
                    endClaim(command.key(), existing, Phase.ABANDONED, null, nowMillis);
        };
    }

    /** Examines a bounded number of claims and removes those past their retention time. */
    StateResult expire(long nowMillis) {
        NavigableMap<ClaimKey, ClaimRecord> remaining =
                mExpiryCursor == null ? mClaims : mClaims.tailMap(mExpiryCursor, false);
        Iterator<Map.Entry<ClaimKey, ClaimRecord>> entries = remaining.entrySet().iterator();
        int removed = 0;
        ClaimKey last = null;
        for (int examined = 0;
                examined < mLimits.claimsPerExpiry() && entries.hasNext();
                examined++) {
            Map.Entry<ClaimKey, ClaimRecord> entry = entries.next();
            last = entry.getKey();
            if (nowMillis >= expiryMillis(entry.getValue())) {
                mResponseBytes -= entry.getValue().responseBytes();
                entries.remove();
                removed++;
            }
        }
        boolean wrapped = !entries.hasNext();
        mExpiryCursor = wrapped ? null : last;
        return new StateResult.Expired(removed, wrapped);
    }

    private long expiryMillis(ClaimRecord claim) {
        return Math.max(claim.deadlineMillis(), claim.changedAtMillis())
                + mLimits.retentionMillis();
    }

    /**
     * Whether the outcome is reported as unknown, the deadline passed or the claimant restarted.
     */
    private boolean isUnknown(ClaimRecord claim, long nowMillis) {
        return claim.phase() == Phase.UNKNOWN
                || nowMillis >= claim.deadlineMillis()
                || !mInstances.isCurrent(claim.claimant());
    }

    private StateResult grant(StateCommand.Claim command, long nowMillis) {
        long deadline = nowMillis + Math.max(0, command.timeLimitMillis());
        Claimant claimant = mInstances.canonical(command.claimant());
        put(
                command.key(),
                new ClaimRecord(
                        claimant, command.requestHash(), Phase.GRANTED, deadline, nowMillis, null));
        return new StateResult.ClaimGranted(deadline);
    }

    private StateResult abandonBeforeClaim(StateCommand.RecordOutcome command, long nowMillis) {
        if (mClaims.size() >= mLimits.claims()) {
            return new StateResult.OutcomeRefused();
        }
        Claimant claimant = mInstances.canonical(command.claimant());
        put(
                command.key(),
                new ClaimRecord(claimant, "", Phase.ABANDONED, nowMillis, nowMillis, null));
        return new StateResult.OutcomeRecorded();
    }

    private StateResult endClaim(
            ClaimKey key,
            ClaimRecord existing,
            Phase phase,
            @Nullable RecordedResponse response,
            long nowMillis) {
        if (existing.phase() == phase) {
            // A claimant that lost the first reply resends the same outcome.
            return new StateResult.OutcomeRecorded();
        }
        boolean open = existing.phase() == Phase.GRANTED || existing.phase() == Phase.UNKNOWN;
        if (!open) {
            return new StateResult.OutcomeRefused();
        }
        put(
                key,
                existing.withOutcome(
                        phase, response == null ? null : withinLimits(response), nowMillis));
        return new StateResult.OutcomeRecorded();
    }

    /** Drops the body of a response that exceeds a limit; the status is always stored. */
    private RecordedResponse withinLimits(RecordedResponse response) {
        int size = response.body().size();
        boolean fits =
                size <= RecordedResponse.MAXIMUM_BODY_BYTES
                        && mResponseBytes + size <= mLimits.responseBytes();
        return fits
                ? response
                : new RecordedResponse(
                        response.status(), response.contentType(), Bytes.EMPTY, false);
    }

    private void put(ClaimKey key, ClaimRecord claim) {
        ClaimRecord replaced = mClaims.put(key, claim);
        mResponseBytes += claim.responseBytes() - (replaced == null ? 0 : replaced.responseBytes());
    }
}
