package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.servicetalk.concurrent.Cancellable;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Requests that arrive in the second between the start of an instance and its first routing. */
class HeldRequestsTest {
    private final HeldRequests mRequests = new HeldRequests();
    private final List<String> mResults = new ArrayList<>();

    /**
     * Guards against requests refused twice while all instances restart: routing comes 0.9 s after
     * the first of them, and each of a request every 100 ms goes on, in the order of arrival.
     */
    @Test
    void requestsOfTheFirstSecondGoOnOnceRoutingIsKnown() {
        List<String> expected = new ArrayList<>();
        for (int number = 0; number < 9; number++) {
            hold("request " + number, OptionalLong.of(10_000), millis(100L * number));
            mRequests.tick(false, millis(100L * number + 50));
            expected.add("request " + number + " true");
        }
        assertThat(mResults, is(empty()));
        mRequests.tick(true, millis(900));
        assertThat(mResults, equalTo(expected));
        assertThat(mRequests.size(), is(0));
    }

    /** Guards against holding a short call until its caller has no time left to come back. */
    @Test
    void requestIsHeldForHalfOfItsTimeAtMost() {
        hold("call", OptionalLong.of(800), millis(0));
        hold("stream", OptionalLong.of(10_000), millis(0));
        hold("unknown", OptionalLong.empty(), millis(0));
        mRequests.tick(false, millis(399));
        assertThat(mResults, is(empty()));
        mRequests.tick(false, millis(400));
        assertThat(mResults, contains("call false"));
        mRequests.tick(false, millis(1_499));
        assertThat(mResults, contains("call false"));
        mRequests.tick(false, millis(1_500));
        assertThat(mResults, contains("call false", "stream false", "unknown false"));
    }

    /** Guards against work done for a caller that has left. */
    @Test
    void callerThatLeavesIsForgotten() {
        hold("gone", OptionalLong.of(10_000), millis(0)).cancel();
        assertThat(mRequests.size(), is(0));
        mRequests.tick(true, millis(50));
        assertThat(mResults, is(empty()));
    }

    /** Guards against memory without a bound: 32 MB of bodies are held, what is beyond is not. */
    @Test
    void bodiesBeyondTheMemoryLimitAreNotHeld() {
        for (int number = 0; number < 9; number++) {
            long untilNanos = millis(1_000);
            int each = number;
            mRequests
                    .hold(4L << 20, untilNanos)
                    .subscribe(routed -> mResults.add(each + " " + routed));
        }
        assertThat(mResults, contains("8 false"));
    }

    private Cancellable hold(String name, OptionalLong remainingMillis, long arrivedNanos) {
        return mRequests
                .hold(1_000, HeldRequests.holdUntilNanos(remainingMillis, arrivedNanos))
                .subscribe(routed -> mResults.add(name + " " + routed));
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
