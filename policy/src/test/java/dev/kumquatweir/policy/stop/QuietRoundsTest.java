package dev.kumquatweir.policy.stop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class QuietRoundsTest {
    private static final long ROUND = TimeUnit.MILLISECONDS.toNanos(QuietRounds.ROUND_MILLIS);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final QuietRounds mRounds = new QuietRounds();

    /** Guards against a close before the I/O thread has looked for arrivals even once. */
    @Test
    void firstRoundClosesNothing() {
        mRounds.begin(SECOND);
        assertThat(mRounds.quietSince(0, SECOND), is(false));
    }

    /** Guards against connections that stay open although nothing comes. */
    @Test
    void connectionIsClosedAfterFullRoundWithoutArrivals() {
        mRounds.begin(SECOND);
        mRounds.begin(SECOND + ROUND);
        assertThat(mRounds.quietSince(0, SECOND + ROUND), is(true));
    }

    /** Guards against the close of a connection on which something has just come. */
    @Test
    void arrivalSinceTheRoundBeforeKeepsTheConnection() {
        mRounds.begin(SECOND);
        mRounds.begin(SECOND + ROUND);
        assertThat(mRounds.quietSince(SECOND + 1, SECOND + ROUND), is(false));
        mRounds.begin(SECOND + 2 * ROUND);
        assertThat(mRounds.quietSince(SECOND + 1, SECOND + 2 * ROUND), is(true));
    }

    /** Guards against a close when the I/O thread was held up after it had looked for arrivals. */
    @Test
    void lateRoundProvesNothing() {
        mRounds.begin(SECOND);
        long late = SECOND + ROUND + SECOND;
        assertThat(mRounds.begin(late), is(SECOND));
        assertThat(mRounds.quietSince(0, late), is(false));
        mRounds.begin(late + ROUND);
        assertThat(mRounds.quietSince(0, late + ROUND), is(true));
    }

    /** Guards against a close late in a round that takes long. */
    @Test
    void roundThatTakesLongClosesNothingAtItsEnd() {
        mRounds.begin(SECOND);
        mRounds.begin(SECOND + ROUND);
        assertThat(mRounds.quietSince(0, SECOND + ROUND + SECOND), is(false));
    }
}
