package dev.kumquatweir.policy.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class UpstreamHealthTest {
    private static final int SLOTS = 8;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final UpstreamHealth mHealth = new UpstreamHealth();

    /**
     * Guards against suspending an upstream that loses four answers in ten but serves the others.
     */
    @Test
    void upstreamThatLosesSomeAnswersStaysAvailable() {
        long nowNanos = MILLI;
        for (int number = 0; number < 50; number++) {
            nowNanos += 40 * MILLI;
            if (number % 5 < 2) {
                mHealth.recordLostAnswer(nowNanos);
            } else {
                mHealth.answered(false, nowNanos);
            }
        }
        assertThat(mHealth.availableSlots(SLOTS, nowNanos), is(SLOTS));
        assertThat(mHealth.errorRate(nowNanos), greaterThan(0.2));
    }

    /** Guards against sending requests to an upstream that no longer answers. */
    @Test
    void silentUpstreamIsSuspended() {
        mHealth.answered(false, MILLI);
        mHealth.recordLostAnswer(801 * MILLI);
        assertThat(mHealth.availableSlots(SLOTS, 900 * MILLI), is(0));
    }

    /** Guards against sending full load to an upstream as soon as its suspension ends. */
    @Test
    void unreachableUpstreamIsProbedWithFewRequests() {
        mHealth.answered(false, MILLI);
        mHealth.failed(2 * MILLI);
        assertThat(mHealth.availableSlots(SLOTS, 3 * MILLI), is(0));
        assertThat(mHealth.availableSlots(SLOTS, 400 * MILLI), lessThan(SLOTS));
    }
}
