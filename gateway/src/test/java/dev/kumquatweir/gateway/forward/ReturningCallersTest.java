package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.routing.Route;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Requests that come back after a rejection. */
final class ReturningCallersTest {
    private final ReturningCallers mReturningCallers = new ReturningCallers();
    private final Route mRoute = Route.builder("r", "a.example", "/").build();

    /** Guards against late requests that take the places of those which can be on time. */
    @Test
    void missingTimeCountsAsAgeOfTheRequest() {
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(10_000))), is(0L));
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(8_400))), is(1_600L));
    }

    /** Guards against first requests that count as old for a few milliseconds on the way. */
    @Test
    void smallOrUnknownDifferencesCountAsFirstRequest() {
        mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(10_000)));
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(9_950))), is(0L));
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.empty())), is(0L));
    }

    private static CallerRequestHead head(OptionalLong remaining) {
        return new CallerRequestHead("id", "a.example", "/", Optional.empty(), remaining, 0, 0, -1);
    }
}
