package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.routing.Route;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Age of requests that callers retry after a rejection. */
final class ReturningCallersTest {
    private final ReturningCallers mReturningCallers = new ReturningCallers();
    private final Route mRoute = Route.builder("r", "a.example", "/").build();

    /**
     * Guards against retried requests that are already late but are scheduled like new ones, ahead
     * of requests that can still meet their target.
     */
    @Test
    void missingTimeCountsAsAgeOfTheRequest() {
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(10_000))), is(0L));
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(8_400))), is(1_600L));
    }

    /** Guards against treating a first request as a retry because of network delay. */
    @Test
    void smallOrUnknownDifferencesCountAsFirstRequest() {
        mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(10_000)));
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.of(9_950))), is(0L));
        assertThat(mReturningCallers.ageMillis(mRoute, head(OptionalLong.empty())), is(0L));
    }

    private static CallerRequestHead head(OptionalLong remainingMillis) {
        return new CallerRequestHead(
                "id",
                "a.example",
                "/",
                Optional.empty(),
                remainingMillis,
                0,
                0,
                0,
                0,
                -1,
                List.of(),
                "");
    }
}
