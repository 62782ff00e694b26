package dev.kumquatweir.policy.memory.forecast;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the forecast of the tokens that the requests on one engine hold. */
final class MemoryForecastTest {
    private static final double CONFIDENCE = 0.99;
    private static final ExpectedOutput EXPECTED = new ExpectedOutput("short", 1_600, 0, 0);
    private static final double SPREAD = 0.7;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LearnedOutputs mOutputs = new LearnedOutputs();
    private final MemoryForecasts mForecasts = new MemoryForecasts(CONFIDENCE, mOutputs);
    private final MemoryForecast mForecast = mForecasts.forEngine();
    private final Random mRandom = new Random(7);

    /** Guards against a quantile of the sum that the sum exceeds more often than stated. */
    @Test
    void learnedSumIsRarelyExceeded() {
        learn(400);
        addRequests(8);
        double forecast = mForecast.tokens();
        int exceeded = 0;
        int samples = 20_000;
        for (int sample = 0; sample < samples; sample++) {
            double sum = 0;
            for (int request = 0; request < 8; request++) {
                sum += 5_000 + answerTokens();
            }
            exceeded += sum > forecast ? 1 : 0;
        }
        assertThat((double) exceeded / samples, lessThan(1.5 * (1 - CONFIDENCE)));
    }

    /** Guards against wasting memory by adding up the quantiles of independent requests. */
    @Test
    void learnedSumIsBelowSumOfQuantiles() {
        learn(400);
        addRequests(8);
        double quantiles = 8 * (5_000 + mOutputs.outputTokensAt(EXPECTED, CONFIDENCE));
        assertThat(mForecast.tokens(), lessThan(0.8 * quantiles));
    }

    /**
     * Guards against averaging out an error that all requests of an unknown route have in common:
     * if the estimate is wrong by a factor, it is wrong for all of them.
     */
    @Test
    void unknownRouteIsCountedNearSumOfQuantiles() {
        addRequests(8);
        double quantiles = 8 * mOutputs.outputTokensAt(EXPECTED, CONFIDENCE);
        double outputs = mForecast.tokens() - 8 * 5_000;
        assertThat(outputs, greaterThan(0.75 * quantiles));
    }

    /** Guards against counting output that the caller does not allow. */
    @Test
    void outputNeverExceedsLimit() {
        ExpectedOutput limited = new ExpectedOutput("short", 1_600, 2_000, 0);
        mForecast.add(mForecasts.answering(5_000, limited));
        mForecast.add(mForecasts.answering(5_000, limited));
        assertThat(mForecast.tokens(), lessThanOrEqualTo(2 * 7_000.0));
        assertThat(mForecast.tokens(), greaterThan(2 * 6_000.0));
    }

    /** Guards against trusting a hint that is right at the median but often far off. */
    @Test
    void hintIsTakenAsMedian() {
        ExpectedOutput hinted = new ExpectedOutput("short", 1_600, 0, 300);
        assertThat(mOutputs.outputTokensAt(hinted, 0.5), closeTo(300, 1));
        assertThat(mOutputs.outputTokensAt(hinted, CONFIDENCE), greaterThan(9 * 300.0));
    }

    /** Guards against expecting an answer to end that already exceeds every expectation. */
    @Test
    void answerThatRunsLongIsExpectedToGrow() {
        learn(400);
        HeldRequest request = mForecasts.answering(5_000, EXPECTED);
        mForecast.add(request);
        mForecast.update(1, 0);
        mForecast.started(request, 0);
        double before = mForecast.tokens();
        mForecast.update(1, 30 * SECOND);
        assertThat(mForecast.tokens(), greaterThan(35_000.0));
        assertThat(mForecast.tokens(), greaterThan(before));
    }

    /** Guards against freeing the memory of a request whose caller reads slowly. */
    @Test
    void requestCountsUntilItIsRemoved() {
        ExpectedOutput limited = new ExpectedOutput("short", 100, 200, 0);
        HeldRequest request = mForecasts.answering(5_000, limited);
        mForecast.add(request);
        mForecast.update(1, 0);
        mForecast.started(request, 0);
        mForecast.update(1, 60 * SECOND);
        assertThat(mForecast.tokens(), greaterThanOrEqualTo(5_200.0));
        mForecast.remove(request);
        assertThat(mForecast.tokens(), is(0.0));
    }

    /** Guards against forgetting the part of a prompt that a helper holds until the start. */
    @Test
    void helperHoldsItsPartUntilTheAnswerStarts() {
        HeldRequest helper = mForecasts.helping(20_000, 3_000);
        mForecast.add(helper);
        assertThat(mForecast.tokens(), is(23_000.0));
        mForecast.started(helper, 0);
        mForecast.update(1, 0);
        assertThat(mForecast.tokens(), is(3_000.0));
    }

    /** Guards against expecting the usual length after answers have become ten times as long. */
    @Test
    void changedLengthsAreLearned() {
        for (int answer = 0; answer < 100; answer++) {
            mOutputs.recordAnswer(EXPECTED, 1_600);
        }
        assertThat(mOutputs.outputTokensAt(EXPECTED, 0.5), closeTo(1_600, 100));
        for (int answer = 0; answer < 300; answer++) {
            mOutputs.recordAnswer(EXPECTED, 16_000);
        }
        assertThat(mOutputs.outputTokensAt(EXPECTED, 0.5), greaterThan(8_000.0));
    }

    /** Guards against memory that grows with the number of route names. */
    @Test
    void routesBeyondTheLimitShareOneDistribution() {
        for (int route = 0; route < 1_000; route++) {
            mOutputs.recordAnswer(new ExpectedOutput("route-" + route, 100, 0, 0), 500);
        }
        ExpectedOutput unknown = new ExpectedOutput("route-999", 100, 0, 0);
        assertThat(mOutputs.outputTokensAt(unknown, 0.5), closeTo(500, 1));
    }

    private void learn(int answers) {
        for (int answer = 0; answer < answers; answer++) {
            mOutputs.recordAnswer(EXPECTED, (long) answerTokens());
        }
    }

    private void addRequests(int count) {
        for (int request = 0; request < count; request++) {
            mForecast.add(mForecasts.answering(5_000, EXPECTED));
        }
    }

    private double answerTokens() {
        return 1_600 * Math.exp(SPREAD * mRandom.nextGaussian());
    }
}
