package dev.kumquatweir.policy.quarantine;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent.BreakCause;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Prompts, no two alike, that share a part on which upstreams crash. */
class SharedPartTest {
    private static final FailureDomain DOMAIN = new FailureDomain("klang-a");
    private static final QuarantineDecision FREE = new QuarantineDecision.RunUnrestricted();
    private static final int UPSTREAMS = 15;
    private static final String SYSTEM = "system";
    private static final String POISON = "poison";
    private static final List<String> POISONOUS = List.of(SYSTEM, POISON);
    private static final List<String> SOUND = List.of(SYSTEM);

    private final List<Quarantine> mInstances =
            IntStream.rangeClosed(1, 4)
                    .mapToObj(number -> Quarantine.builder().owner("entry-" + number).build())
                    .toList();
    private long mNowNanos = SECOND;
    private int mAttempts;
    private int mCrashes;

    /** Guards against a part that crashes engines again through each instance. */
    @Test
    void refusesPromptsOnAllInstancesAfterThreeCrashes() {
        for (int crash = 1; crash <= 3; crash++) {
            assertThat(isRefused(crash % 4, POISONOUS), is(false));
            crash(crash % 4, POISONOUS);
        }
        for (int instance = 0; instance < 4; instance++) {
            assertThat(isRefused(instance, POISONOUS), is(true));
        }
    }

    /** Guards against sound prompts that are refused or held for the part that they share. */
    @Test
    void letsPromptsWithOnlyTheOtherPartsRunUnrestricted() {
        for (int crash = 0; crash < 6; crash++) {
            crash(crash % 4, POISONOUS);
        }
        for (Quarantine instance : mInstances) {
            assertThat(instance.decide("sound", SOUND, UPSTREAMS, mNowNanos), is(FREE));
        }
    }

    /** Guards against a part that goes unrefused because a sound part has the same crashes. */
    @Test
    void refusesThePartUnderOtherSystemMessagesOnceAnAnswerClearedTheShared() {
        for (int crash = 0; crash < 3; crash++) {
            crash(crash % 4, POISONOUS);
        }
        answer(1, SOUND);
        for (int instance = 0; instance < 4; instance++) {
            assertThat(isRefused(instance, List.of("other system", POISON)), is(true));
        }
    }

    /** Guards against sound prompts that are refused after crashes for other reasons. */
    @Test
    void completeAnswersClearTheirParts() {
        for (int crash = 0; crash < 20; crash++) {
            crash(crash % 4, SOUND);
            answer((crash + 1) % 4, SOUND);
            assertThat(isRefused(crash % 4, SOUND), is(false));
        }
    }

    /** Guards against a part with a known answer that is refused as fast as a new one. */
    @Test
    void partsWithAnAnswerAreRefusedAfterFiveCrashes() {
        answer(0, SOUND);
        for (int crash = 1; crash <= 5; crash++) {
            assertThat(isRefused(0, SOUND), is(false));
            crash(0, SOUND);
        }
        assertThat(isRefused(0, SOUND), is(true));
    }

    /** Guards against blaming a part for engines that fail at one time, as a domain does. */
    @Test
    void crashesOfAttemptsThatRanAtTheSameTimeCountOnce() {
        List<AttemptId> attempts =
                IntStream.range(0, 8).mapToObj(engine -> start(0, SOUND, engine)).toList();
        for (int engine = 0; engine < 8; engine++) {
            mNowNanos += 100 * MILLI;
            mInstances
                    .get(0)
                    .attemptBroken(attempts.get(engine), BreakCause.CONNECTION_LOST, mNowNanos);
            mInstances.get(0).upstreamTerminated(incarnation(engine), DOMAIN, mNowNanos);
        }
        assertThat(isRefused(0, SOUND), is(false));
    }

    /** Guards against blaming the part of an answer that had been written for long. */
    @Test
    void answersPastTheirBeginningAreNotBlamed() {
        for (int engine = 0; engine < 8; engine++) {
            AttemptId attempt = start(0, SOUND, engine);
            mInstances.get(0).attemptProgressed(attempt, 1);
            mInstances.get(0).attemptProgressed(attempt, 40);
            mInstances.get(0).attemptBroken(attempt, BreakCause.CONNECTION_LOST, mNowNanos);
            mInstances.get(0).upstreamTerminated(incarnation(engine), DOMAIN, mNowNanos);
            mNowNanos += SECOND;
        }
        assertThat(isRefused(0, SOUND), is(false));
    }

    /** Guards against refusing prompts after connections that broke while the engines went on. */
    @Test
    void upstreamsThatReportAfterwardsDidNotCrash() {
        for (int engine = 0; engine < 8; engine++) {
            AttemptId attempt = start(0, SOUND, engine);
            mInstances.get(0).attemptBroken(attempt, BreakCause.CONNECTION_LOST, mNowNanos);
            mNowNanos += 3 * SECOND;
            mInstances.get(0).upstreamAlive(incarnation(engine), mNowNanos);
            assertThat(isRefused(0, SOUND), is(false));
        }
    }

    /** Guards against a verdict that never ends and a table that keeps its entries. */
    @Test
    void verdictsExpire() {
        for (int crash = 0; crash < 3; crash++) {
            crash(0, POISONOUS);
        }
        mNowNanos += 15 * 60 * SECOND;
        assertThat(isRefused(0, POISONOUS), is(false));
        mInstances.get(0).expire(mNowNanos);
        assertThat(mInstances.get(0).marks(mNowNanos), is(List.of()));
    }

    private boolean isRefused(int instance, List<String> parts) {
        QuarantineDecision decision =
                mInstances.get(instance).decide("new content", parts, UPSTREAMS, mNowNanos);
        return decision instanceof QuarantineDecision.Refuse;
    }

    /** Crashes one more engine through an instance; the others are told at once. */
    private void crash(int instance, List<String> parts) {
        int engine = mCrashes++;
        AttemptId attempt = start(instance, parts, engine);
        mNowNanos += 50 * MILLI;
        mInstances.get(instance).attemptBroken(attempt, BreakCause.CONNECTION_LOST, mNowNanos);
        spread(instance);
        mNowNanos += SECOND;
        mInstances.get(instance).upstreamTerminated(incarnation(engine), DOMAIN, mNowNanos);
        spread(instance);
    }

    private void answer(int instance, List<String> parts) {
        AttemptId attempt = start(instance, parts, 100);
        mNowNanos += 50 * MILLI;
        mInstances.get(instance).attemptFinished(attempt, mNowNanos);
        spread(instance);
    }

    private AttemptId start(int instance, List<String> parts, int engine) {
        AttemptId attempt = new AttemptId("a:1:" + mAttempts++);
        String content = "content " + mAttempts;
        Quarantine quarantine = mInstances.get(instance);
        quarantine.attemptStarted(attempt, content, incarnation(engine), DOMAIN);
        quarantine.attemptShares(attempt, parts, mNowNanos);
        return attempt;
    }

    private void spread(int from) {
        mInstances
                .get(from)
                .marks(mNowNanos)
                .forEach(
                        mark ->
                                mInstances.forEach(
                                        instance -> instance.mergeRemote(mark, mNowNanos)));
    }

    private static UpstreamIncarnation incarnation(int engine) {
        return new UpstreamIncarnation(new UpstreamId("engine-" + engine), 1);
    }
}
