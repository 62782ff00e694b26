package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.routing.Route;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Requests that come back after a rejection. */
final class ReturningCallersTest {
    private final ReturningCallers mReturns = new ReturningCallers();
    private final Route mRoute = Route.builder("r", "a.example", "/").build();

    /** Guards against late requests that take the places of those which can be on time. */
    @Test
    void callerWithLessTimeLeftIsOlder() {
        assertThat(mReturns.ageMillis(mRoute, head(OptionalLong.of(10_000))), is(0L));
        assertThat(mReturns.ageMillis(mRoute, head(OptionalLong.of(8_400))), is(1_600L));
    }

    /** Guards against first requests that count as old for a few milliseconds on the way. */
    @Test
    void smallDifferencesAreIgnored() {
        mReturns.ageMillis(mRoute, head(OptionalLong.of(10_000)));
        assertThat(mReturns.ageMillis(mRoute, head(OptionalLong.of(9_950))), is(0L));
        assertThat(mReturns.ageMillis(mRoute, head(OptionalLong.empty())), is(0L));
    }

    private static CallerHead head(OptionalLong remaining) {
        return new CallerHead("id", "a.example", "/", Optional.empty(), remaining, 0, 0, -1);
    }
}
