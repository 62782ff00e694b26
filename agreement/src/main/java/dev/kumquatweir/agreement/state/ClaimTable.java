package dev.kumquatweir.agreement.state;

import dev.kumquatweir.agreement.state.ClaimRecord.Phase;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedAnswer;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Claims on requests that may not be repeated. Deterministic. One thread. */
final class ClaimTable {
    private final StateLimits mLimits;
    private final InstanceTable mInstances;
    private final NavigableMap<ClaimKey, ClaimRecord> mClaims = new TreeMap<>();
    private long mAnswerBytes;
    private @Nullable ClaimKey mExpiryCursor;

    ClaimTable(StateLimits limits, InstanceTable instances) {
        mLimits = limits;
        mInstances = instances;
    }

    NavigableMap<ClaimKey, ClaimRecord> claims() {
        return mClaims;
    }

    long answerBytes() {
        return mAnswerBytes;
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
            return new StateResult.ClaimRefused(StateResult.Reason.STALE_INCARNATION);
        }
        ClaimRecord present = mClaims.get(command.key());
        if (present == null) {
            return mClaims.size() >= mLimits.claims()
                    ? new StateResult.ClaimRefused(StateResult.Reason.FULL)
                    : grant(command, nowMillis);
        }
        if (present.phase() == Phase.ABANDONED) {
            // The abandoned request itself may still be on its way to the log a second time.
            return present.claimant().equals(command.claimant())
                    ? new StateResult.ClaimRefused(StateResult.Reason.ABANDONED)
                    : grant(command, nowMillis);
        }
        if (!present.requestHash().equals(command.requestHash())) {
            return new StateResult.ClaimKeyReused();
        }
        if (present.answer() != null) {
            return new StateResult.ClaimFinished(present.answer());
        }
        if (isUnknown(present, nowMillis)) {
            return new StateResult.ClaimUnknown();
        }
        // The same command may reach the log twice when its first answer was lost.
        return present.claimant().equals(command.claimant())
                ? new StateResult.ClaimGranted(present.deadlineMillis())
                : new StateResult.ClaimRunning();
    }

    StateResult recordOutcome(StateCommand.RecordOutcome command, long nowMillis) {
        ClaimRecord present = mClaims.get(command.key());
        if (present == null) {
            return command.outcome() instanceof ClaimOutcome.NotRun
                    ? abandonBeforeClaim(command, nowMillis)
                    : new StateResult.OutcomeRefused();
        }
        if (!present.claimant().equals(command.claimant())) {
            return new StateResult.OutcomeRefused();
        }
        return switch (command.outcome()) {
            case ClaimOutcome.Finished(RecordedAnswer answer) ->
                    end(command.key(), present, Phase.FINISHED, answer, nowMillis);
            case ClaimOutcome.Unknown() ->
                    end(command.key(), present, Phase.UNKNOWN, null, nowMillis);
            case ClaimOutcome.NotRun() ->
                    end(command.key(), present, Phase.ABANDONED, null, nowMillis);
        };
    }

    /** Looks at a bounded number of claims and removes those whose time is over. */
    StateResult expire(long nowMillis) {
        NavigableMap<ClaimKey, ClaimRecord> rest =
                mExpiryCursor == null ? mClaims : mClaims.tailMap(mExpiryCursor, false);
        Iterator<Map.Entry<ClaimKey, ClaimRecord>> entries = rest.entrySet().iterator();
        int removed = 0;
        ClaimKey last = null;
        for (int seen = 0; seen < mLimits.expiryStep() && entries.hasNext(); seen++) {
            Map.Entry<ClaimKey, ClaimRecord> entry = entries.next();
            last = entry.getKey();
            if (nowMillis >= expiryMillis(entry.getValue())) {
                mAnswerBytes -= entry.getValue().answerBytes();
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

    /** A claim without an outcome is unknown once its claimant is gone or its time is over. */
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

    private StateResult end(
            ClaimKey key,
            ClaimRecord present,
            Phase phase,
            @Nullable RecordedAnswer answer,
            long nowMillis) {
        if (present.phase() == phase) {
            // The same outcome, recorded again after a lost answer.
            return new StateResult.OutcomeRecorded();
        }
        boolean open = present.phase() == Phase.GRANTED || present.phase() == Phase.UNKNOWN;
        if (!open) {
            return new StateResult.OutcomeRefused();
        }
        put(key, present.ended(phase, answer == null ? null : kept(answer), nowMillis));
        return new StateResult.OutcomeRecorded();
    }

    /** Drops the body of an answer that exceeds a limit; the status is always kept. */
    private RecordedAnswer kept(RecordedAnswer answer) {
        int size = answer.body().size();
        boolean fits =
                size <= RecordedAnswer.LARGEST_BODY_BYTES
                        && mAnswerBytes + size <= mLimits.answerBytes();
        return fits
                ? answer
                : new RecordedAnswer(answer.status(), answer.contentType(), Bytes.EMPTY, false);
    }

    private void put(ClaimKey key, ClaimRecord claim) {
        ClaimRecord replaced = mClaims.put(key, claim);
        mAnswerBytes += claim.answerBytes() - (replaced == null ? 0 : replaced.answerBytes());
    }
}
