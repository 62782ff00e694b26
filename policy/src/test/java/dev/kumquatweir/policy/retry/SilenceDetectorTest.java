package dev.kumquatweir.policy.retry;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;
import java.util.List;
import org.junit.jupiter.api.Test;

class SilenceDetectorTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final UpstreamId OTHER = new UpstreamId("engine-2");
    private static final AttemptId FIRST = new AttemptId("a:1:1");
    private static final AttemptId SECOND_ATTEMPT = new AttemptId("a:1:2");
    private static final AttemptId THIRD = new AttemptId("a:1:3");

    private final SilenceDetector mDetector = SilenceDetector.builder().build();

    /** Guards against mistaking a prefill of a million tokens for a dead connection. */
    @Test
    void allowsForThePrefillBeforeTheFirstToken() {
        mDetector.started(FIRST, ENGINE, 1, 1_000_000, 0);
        assertThat(mDetector.check(1_000 * SECOND), empty());
        assertThat(mDetector.check(3_006 * SECOND), contains(dropped(ENGINE, 1, false, FIRST)));
    }

    /**
     * Guards against waiting too long on a dead connection although the prefill rate has been
     * learned.
     */
    @Test
    void learnsThePrefillRateOfAnUpstream() {
        mDetector.started(FIRST, ENGINE, 1, 100_000, 0);
        mDetector.tokenReceived(FIRST, 10 * SECOND);
        mDetector.finished(FIRST, 0);
        mDetector.started(SECOND_ATTEMPT, ENGINE, 1, 100_000, 10 * SECOND);
        assertThat(mDetector.check(45 * SECOND), empty());
        assertThat(
                mDetector.check(46 * SECOND), contains(dropped(ENGINE, 1, false, SECOND_ATTEMPT)));
    }

    /** Guards against dropping an uncached prompt because a cached one had a short prefill. */
    @Test
    void learnsNothingFromCachedTokens() {
        mDetector.started(FIRST, ENGINE, 1, 100_000, 0);
        mDetector.tokenReceived(FIRST, SECOND);
        mDetector.finished(FIRST, 98_000);
        mDetector.started(SECOND_ATTEMPT, ENGINE, 1, 100_000, SECOND);
        assertThat(mDetector.check(155 * SECOND), empty());
        assertThat(
                mDetector.check(157 * SECOND), contains(dropped(ENGINE, 1, false, SECOND_ATTEMPT)));
    }

    /** Guards against dropping all streams after a pause of this process. */
    @Test
    void doesNotTreatProcessPausesAsSilence() {
        decode(FIRST, ENGINE, 1, 0, 28 * MILLI, 100);
        mDetector.processPaused(60 * SECOND);
        assertThat(mDetector.check(63 * SECOND), empty());
        assertThat(mDetector.check(64 * SECOND), contains(dropped(ENGINE, 1, false, FIRST)));
    }

    /**
     * Guards against a time limit that is too short for jitter, and one that is too long to be
     * useful.
     */
    @Test
    void keepsTheLearnedGapBetweenFloorAndCap() {
        decode(FIRST, ENGINE, 1, 0, 28 * MILLI, 100);
        assertThat(mDetector.boundNanos(ENGINE, true, false, 0), is(500 * MILLI));
        decode(SECOND_ATTEMPT, OTHER, 1, 0, 2 * SECOND, 20);
        assertThat(mDetector.boundNanos(OTHER, true, false, 0), is(5 * SECOND));
    }

    /** Guards against streams that hang on connections silently dropped by a middlebox. */
    @Test
    void dropsSiblingsThatWereNotHeardSinceTheSilenceBegan() {
        decode(FIRST, ENGINE, 1, 0, 28 * MILLI, 100);
        decode(SECOND_ATTEMPT, ENGINE, 2, 10 * MILLI, 28 * MILLI, 100);
        decode(THIRD, ENGINE, 3, 0, 28 * MILLI, 117);
        mDetector.started(new AttemptId("a:1:4"), OTHER, 4, 1_000, 0);
        List<SilenceDecision> decisions = mDetector.check(2_800 * MILLI + 501 * MILLI);
        assertThat(
                decisions,
                containsInAnyOrder(
                        dropped(ENGINE, 1, false, FIRST),
                        dropped(ENGINE, 2, true, SECOND_ATTEMPT)));
        assertThat(mDetector.check(2_800 * MILLI + 502 * MILLI), empty());
    }

    /**
     * Guards against dropping a long prefill, or keeping its full time limit, when a sibling
     * connection is silent.
     */
    @Test
    void shortensTheTimeLimitOfSuspectedPrefills() {
        decode(FIRST, ENGINE, 1, 0, 28 * MILLI, 100);
        mDetector.started(SECOND_ATTEMPT, ENGINE, 2, 100_000, 0);
        List<SilenceDecision> decisions = mDetector.check(4 * SECOND);
        assertThat(
                decisions,
                contains(
                        dropped(ENGINE, 1, false, FIRST),
                        new SilenceDecision.SuspectAttempt(ENGINE, 2, SECOND_ATTEMPT)));
        assertThat(mDetector.check(105 * SECOND), empty());
        assertThat(
                mDetector.check(106 * SECOND), contains(dropped(ENGINE, 2, false, SECOND_ATTEMPT)));
    }

    /** Guards against dropping a live multiplexed connection because of one stuck stream. */
    @Test
    void dropsOnlyTheAttemptWhenItsConnectionIsAlive() {
        decode(FIRST, ENGINE, 1, 0, 28 * MILLI, 100);
        decode(SECOND_ATTEMPT, ENGINE, 1, 0, 28 * MILLI, 130);
        assertThat(
                mDetector.check(3_640 * MILLI),
                contains(new SilenceDecision.DropAttempt(ENGINE, FIRST)));
    }

    private void decode(
            AttemptId attempt,
            UpstreamId upstream,
            long connection,
            long startNanos,
            long gapNanos,
            int tokens) {
        mDetector.started(attempt, upstream, connection, 0, startNanos);
        for (int token = 1; token <= tokens; token++) {
            mDetector.tokenReceived(attempt, startNanos + token * gapNanos);
        }
    }

    private static SilenceDecision dropped(
            UpstreamId upstream, long connection, boolean sibling, AttemptId attempt) {
        return new SilenceDecision.DropConnection(upstream, connection, List.of(attempt), sibling);
    }
}
