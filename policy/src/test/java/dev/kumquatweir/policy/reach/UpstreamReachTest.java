package dev.kumquatweir.policy.reach;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.UpstreamId;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class UpstreamReachTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long NONE = Long.MAX_VALUE;
    private static final int TRIED = 6;

    private final UpstreamReach mReach = new UpstreamReach(0);

    /**
     * Guards against an instance that waits for requests to fail one by one while it is cut off.
     */
    @Test
    void cutIsKnownSoonAfterSilenceBegins() {
        assertThat(mReach.isTryDue(1_000 * MILLI, 1_400 * MILLI), is(false));
        assertThat(mReach.isTryDue(1_000 * MILLI, 1_500 * MILLI), is(true));
        mReach.tryBegun(1_500 * MILLI);
        assertThat(mReach.tryEnded(TRIED, false), is(true));
        assertThat(mReach.cutOff(), is(true));
    }

    /** Guards against a cut in which kept connections live on and new ones are refused. */
    @Test
    void refusedConnectsAreTriedAlthoughOthersAnswer() {
        mReach.received(990 * MILLI);
        mReach.connectFailed(new UpstreamId("a"), 995 * MILLI);
        assertThat(mReach.isTryDue(NONE, 1_000 * MILLI), is(false));
        mReach.connectFailed(new UpstreamId("b"), 1_000 * MILLI);
        assertThat(mReach.isTryDue(NONE, 1_000 * MILLI), is(true));
    }

    /** Guards against a dead upstream, service or failure domain that is taken for a cut. */
    @Test
    void oneUpstreamThatAnswersIsEnough() {
        mReach.connectFailed(new UpstreamId("a"), 1_000 * MILLI);
        mReach.connectFailed(new UpstreamId("b"), 1_000 * MILLI);
        mReach.tryBegun(1_000 * MILLI);
        assertThat(mReach.tryEnded(TRIED, true), is(false));
        assertThat(mReach.cutOff(), is(false));
        assertThat(mReach.isTryDue(NONE, 1_600 * MILLI), is(false));
    }

    /** Guards against failures of one upstream again and again that are taken for a cut. */
    @Test
    void oneUpstreamAloneIsNoSuspicion() {
        for (int number = 0; number < 10; number++) {
            mReach.connectFailed(new UpstreamId("a"), (1_000 + number) * MILLI);
        }
        assertThat(mReach.isTryDue(NONE, 1_010 * MILLI), is(false));
        assertThat(mReach.tryEnded(1, false), is(false));
    }

    /** Guards against callers that are moved each time a path comes and goes. */
    @Test
    void returnTakesTwoSuccessfulTries() {
        mReach.tryBegun(0);
        mReach.tryEnded(TRIED, false);
        mReach.tryBegun(500 * MILLI);
        assertThat(mReach.tryEnded(TRIED, true), is(false));
        mReach.tryBegun(1_000 * MILLI);
        assertThat(mReach.tryEnded(TRIED, false), is(false));
        assertThat(mReach.isTryDue(NONE, 1_400 * MILLI), is(false));
        assertThat(mReach.isTryDue(NONE, 1_500 * MILLI), is(true));
        mReach.tryEnded(TRIED, true);
        assertThat(mReach.cutOff(), is(true));
        assertThat(mReach.tryEnded(TRIED, true), is(true));
        assertThat(mReach.cutOff(), is(false));
    }

    /** Guards against connects all the time while long prompts let no bytes come. */
    @Test
    void silenceIsNotTriedAgainAtOnce() {
        mReach.tryBegun(1_000 * MILLI);
        mReach.tryEnded(TRIED, true);
        assertThat(mReach.isTryDue(0, 2_900 * MILLI), is(false));
        assertThat(mReach.isTryDue(0, 3_000 * MILLI), is(true));
    }
}
