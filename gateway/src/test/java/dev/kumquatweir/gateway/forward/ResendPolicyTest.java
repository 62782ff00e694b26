package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.routing.Repeatability;
import org.junit.jupiter.api.Test;

/** Rules for resending a request after a failed send. */
final class ResendPolicyTest {
    /** Guards against executing a non-repeatable request, such as a payment, twice. */
    @Test
    void nonRepeatableRequestIsNotResentOnceItMayHaveExecuted() {
        assertThat(ResendPolicy.mayResend(Repeatability.ONCE, 1, 1, 3, true), is(false));
        assertThat(ResendPolicy.mayResend(Repeatability.ONCE, 1, 2, 3, false), is(false));
    }

    /** Guards against failing a refused request although another upstream has capacity. */
    @Test
    void requestThatWasNotExecutedIsResent() {
        assertThat(ResendPolicy.mayResend(Repeatability.ONCE, 0, 1, 1, false), is(true));
    }

    /** Guards against more executions than the route allows. */
    @Test
    void executionsAreBoundedByTheRoute() {
        assertThat(ResendPolicy.mayResend(Repeatability.IDEMPOTENT, 1, 1, 2, true), is(true));
        assertThat(ResendPolicy.mayResend(Repeatability.IDEMPOTENT, 2, 2, 2, true), is(false));
        assertThat(ResendPolicy.mayResend(Repeatability.RESUMABLE, 2, 2, 2, true), is(false));
    }

    /** Guards against resending without end while all upstreams are at capacity. */
    @Test
    void sendsWithoutExecutionAreBounded() {
        assertThat(ResendPolicy.mayResend(Repeatability.IDEMPOTENT, 0, 5, 2, false), is(false));
    }
}
