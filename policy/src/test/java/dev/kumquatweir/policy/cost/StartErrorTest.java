package dev.kumquatweir.policy.cost;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class StartErrorTest {
    private final StartError mError = StartError.defaultDistribution();

    /** Guards against a default that differs from what was measured. */
    @Test
    void defaultHasTheMeasuredQuantiles() {
        assertThat(mError.probabilityLate(200, 10), closeTo(0.5, 1e-9));
        assertThat(mError.probabilityLate(200, 62), closeTo(0.1, 1e-9));
        assertThat(mError.probabilityLate(200, 211), closeTo(0.01, 1e-9));
    }

    /** Guards against probabilities outside 0 to 1 at the ends of the range. */
    @Test
    void farFromTheTargetTheResultIsCertain() {
        assertThat(mError.probabilityLate(200, -1_000), is(1.0));
        assertThat(mError.probabilityLate(200, 1_000), is(0.0));
    }

    /** Guards against treating long waits as known to the millisecond. */
    @Test
    void longWaitsHaveLargerErrors() {
        assertThat(
                mError.probabilityLate(4_000, 100), greaterThan(mError.probabilityLate(200, 100)));
    }
}
