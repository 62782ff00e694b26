package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.routing.Repeatability;
import org.junit.jupiter.api.Test;

/** What may be sent a second time. */
final class ResendPolicyTest {
    /** Guards against a deposit that is taken twice. */
    @Test
    void nonRepeatableRequestIsNotResentOnceItMayHaveExecuted() {
        assertThat(ResendPolicy.mayResend(Repeatability.ONCE, 1, 1, 3, true), is(false));
        assertThat(ResendPolicy.mayResend(Repeatability.ONCE, 1, 2, 3, false), is(false));
    }

    /** Guards against a refusal that ends a request although another upstream has room. */
    @Test
    void requestThatWasNotExecutedIsResent() {
        assertThat(ResendPolicy.mayResend(Repeatability.ONCE, 0, 1, 1, false), is(true));
    }

    /** Guards against more runs than the route allows. */
    @Test
    void executionsAreBoundedByTheRoute() {
        assertThat(ResendPolicy.mayResend(Repeatability.IDEMPOTENT, 1, 1, 2, true), is(true));
        assertThat(ResendPolicy.mayResend(Repeatability.IDEMPOTENT, 2, 2, 2, true), is(false));
        assertThat(ResendPolicy.mayResend(Repeatability.RESUMABLE, 2, 2, 2, true), is(false));
    }

    /** Guards against endless sends to upstreams that have no room. */
    @Test
    void sendsWithoutExecutionAreBounded() {
        assertThat(ResendPolicy.mayResend(Repeatability.IDEMPOTENT, 0, 5, 2, false), is(false));
    }
}
