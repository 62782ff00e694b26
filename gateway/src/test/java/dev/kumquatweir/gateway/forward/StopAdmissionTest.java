package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.routing.Route;
import dev.kumquatweir.policy.stop.PlannedStop;
import dev.kumquatweir.policy.stop.StopAction;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.HttpRequestMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StopAdmissionTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long DRAIN_MILLIS = 7_400;
    private static final long USUAL_MILLIS = 2_000;

    private final ForwardedRequest mRequest = request();
    private final StopAdmission mStops = new StopAdmission(new EmptyState(), () -> false);

    @BeforeEach
    void stopAfterUsualAnswers() {
        IntStream.range(0, 20)
                .forEach(number -> mStops.recordAnswer(mRequest, -USUAL_MILLIS * MILLI, 0));
        mStops.begin(new PlannedStop(0, DRAIN_MILLIS * MILLI));
    }

    /**
     * Guards against a stream that is broken off because its upstream is silent for a moment,
     * though no other upstream could complete it before the process ends.
     */
    @Test
    void silentUpstreamIsKeptWhereNoOtherCouldComplete() {
        long lateNanos = 6_500 * MILLI;
        assertThat(mStops.leavesTimeToResend(mRequest, true, 1_000 * MILLI), is(true));
        assertThat(mStops.leavesTimeToResend(mRequest, true, lateNanos), is(false));
        assertThat(mStops.decide(mRequest, true, false, true, lateNanos), is(StopAction.CONTINUE));
        assertThat(
                mStops.decide(mRequest, true, false, true, DRAIN_MILLIS * MILLI),
                is(StopAction.ABORT));
    }

    /** Guards against 'not executed' for a request that an earlier upstream may have executed. */
    @Test
    void onlyWhatNoUpstreamGotIsRejectedAsNotExecuted() {
        long lateNanos = 6_500 * MILLI;
        assertThat(mStops.decide(mRequest, false, false, false, lateNanos), is(StopAction.REJECT));
        assertThat(mStops.decide(mRequest, false, true, false, lateNanos), is(StopAction.FAIL));
        assertThat(mStops.decide(mRequest, false, true, true, lateNanos), is(StopAction.ABORT));
        assertThat(
                mStops.decide(mRequest, false, false, false, 5_000 * MILLI),
                is(StopAction.CONTINUE));
    }

    private static ForwardedRequest request() {
        Route route = Route.builder("route", "host", "/").times(15_000, 300, 200).build();
        CallerRequestHead head =
                new CallerRequestHead(
                        "request",
                        "host",
                        "/",
                        Optional.empty(),
                        OptionalLong.empty(),
                        0,
                        0,
                        0,
                        0,
                        -1,
                        List.of(),
                        "");
        return new ForwardedRequest(
                head,
                HttpRequestMethod.POST,
                "/",
                DefaultHttpHeadersFactory.INSTANCE.newHeaders(),
                Bytes.EMPTY,
                route,
                new ServiceName("service"),
                Optional.empty(),
                0,
                15_000 * MILLI);
    }
}
