package dev.kumquatweir.policy.cost;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Replays costs that the published model does not know. */
final class CostModelTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final CostModel mModel = new CostModel();
    private final Random mRandom = new Random(1);
    private long mNowNanos;

    /** Guards against estimates that stay at the published cost or at the mean of all subjects. */
    @Test
    void subjectThatIsTenTimesAsExpensiveIsLearned() {
        for (int number = 0; number < 300; number++) {
            boolean expensive = number % 10 == 0;
            String subject = expensive ? "expensive" : "usual" + number % 3;
            answer(origin("team", subject, 0), expensive ? 4_000 : 400);
        }
        assertThat(expected("expensive"), closeTo(4_000, 400));
        assertThat(expected("usual1"), closeTo(400, 40));
    }

    /** Guards against following a change of costs only after a long time. */
    @Test
    void changedCostIsFollowedWithinTwoWindows() {
        for (int number = 0; number < 500; number++) {
            answer(origin("team", "", 0), 400);
        }
        for (int number = 0; number < 129; number++) {
            answer(origin("team", "", 0), 2_000);
        }
        assertThat(expected(""), closeTo(2_000, 200));
    }

    /** Guards against reserving the mean for requests that look alike and cost 1 to 20. */
    @Test
    void quantileHoldsForRequestsThatLookAlike() {
        int exceeded = 0;
        for (int number = 0; number < 2_000; number++) {
            CostOrigin origin = origin("team", "", 0);
            long output = 100L + mRandom.nextInt(1_900);
            if (number >= 200 && output > mModel.outputTokensAt(origin, 0.95)) {
                exceeded++;
            }
            answer(origin, output);
        }
        assertThat(exceeded / 1_800.0, closeTo(0.05, 0.03));
    }

    /**
     * Guards against relying on hints of a team whose hints are far off, and ignoring good ones.
     */
    @Test
    void hintIsTrustedByTeam() {
        for (int number = 0; number < 200; number++) {
            long output = 100L + mRandom.nextInt(1_900);
            answer(origin("exact", "", output / 2), output);
            answer(origin("careless", "", 1 + mRandom.nextInt(3_000)), output);
        }
        assertThat((double) mModel.expectedTokens(origin("exact", "", 500)), closeTo(1_000, 100));
        assertThat((double) mModel.expectedTokens(origin("careless", "", 10)), closeTo(1_050, 250));
    }

    /** Guards against reserving more than the caller allows. */
    @Test
    void estimateDoesNotExceedTheLimit() {
        answerMany(3_000);
        CostOrigin limited = new CostOrigin("route", "team", "", 460, 0, 1_000);
        assertThat(mModel.expectedTokens(limited), is(1_000L));
        assertThat(mModel.outputTokensAt(limited, 0.99), is(1_000L));
    }

    /** Guards against conclusions from few answers. */
    @Test
    void publishedCostHoldsWhileLittleIsKnown() {
        answer(origin("team", "", 0), 4_000);
        assertThat(mModel.expectedTokens(origin("team", "", 0)), is(460L));
        assertThat(mModel.expectedMillis("route", "team"), is(OptionalDouble.empty()));
    }

    /** Guards against memory that grows with the number of subjects. */
    @Test
    void numberOfSketchesIsBounded() {
        for (int number = 0; number < 10_000; number++) {
            answer(origin("team", "subject" + number, 0), 400);
        }
        assertThat(mModel.sketchCount(), lessThanOrEqualTo(2_000));
    }

    /** Guards against an error that is not visible. */
    @Test
    void errorOfTheEstimateIsMeasured() {
        answerMany(800);
        answerMany(800);
        assertThat(mModel.errorRatio(0.5).orElseThrow(), closeTo(1, 0.1));
        assertThat(mModel.errorRatio(0.99).orElseThrow(), lessThan(2.0));
    }

    /** Guards against sharing the time of calls among routes. */
    @Test
    void timeOfCallsIsLearnedByRoute() {
        for (int number = 0; number < 20; number++) {
            mModel.recordMillis(origin("team", "", 0), 40, mNowNanos);
        }
        assertThat(mModel.expectedMillis("route", "other").orElseThrow(), closeTo(40, 4));
        assertThat(mModel.expectedMillis("else", "team"), is(OptionalDouble.empty()));
    }

    private void answerMany(long outputTokens) {
        for (int number = 0; number < 100; number++) {
            answer(origin("team", "", 0), outputTokens);
        }
    }

    private void answer(CostOrigin origin, long outputTokens) {
        mNowNanos += 20 * MILLI;
        mModel.recordOutput(origin, outputTokens, mNowNanos);
    }

    private double expected(String subject) {
        return mModel.expectedTokens(origin("team", subject, 0));
    }

    private static CostOrigin origin(String team, String subject, long hintTokens) {
        return new CostOrigin("route", team, subject, 460, hintTokens, 0);
    }
}
