package dev.kumquatweir.gateway.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.IdempotencyKey;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What callers are told of requests that are refused before a claim is decided. */
class EarlyRefusalTest {
    private static final long LEASE_END_NANOS = 1_000;
    private static final LeasedConfiguration CONFIGURATION =
            new LeasedConfiguration(7, ConfigurationDocument.EMPTY, LEASE_END_NANOS);
    private static final Optional<IdempotencyKey> KEY = Optional.of(new IdempotencyKey("key-1"));
    private static final List<RequestFailure> CONFIGURED =
            List.of(
                    new RequestFailure.NotAuthenticated(),
                    new RequestFailure.UnknownName("model", "quote-7b"),
                    new RequestFailure.IdempotencyKeyMissing());

    /** Guards against a rejection for good that a newer configuration would not have given. */
    @Test
    void missingNamesAreConfirmedByTheLeaseOnly() {
        for (RequestFailure reason : CONFIGURED) {
            assertThat(decide(reason, Optional.empty(), LEASE_END_NANOS - 1), is(reason));
            RequestFailure refused = decide(reason, Optional.empty(), LEASE_END_NANOS);
            assertThat(refused, is(new RequestFailure.NoConfigurationLease()));
            assertThat(refused.executed(), is(Executed.NO));
        }
    }

    /** Guards against reasons that hold in any configuration being hidden without a lease. */
    @Test
    void otherReasonsAreGivenWithoutLease() {
        RequestFailure malformed = new RequestFailure.Malformed("body", "is no object");
        assertThat(decide(malformed, Optional.empty(), LEASE_END_NANOS), is(malformed));
        RequestFailure draining = new RequestFailure.Draining();
        assertThat(decide(draining, Optional.empty(), LEASE_END_NANOS), is(draining));
    }

    /**
     * Guards against "not run" for an action that ran under an earlier configuration, before its
     * team or service was removed.
     */
    @Test
    void refusalWithKeySaysNothingOfEarlierRequests() {
        for (RequestFailure reason : CONFIGURED) {
            RequestFailure refused = decide(reason, KEY, LEASE_END_NANOS - 1);
            assertThat(refused.code(), is(reason.code()));
            assertThat(refused.executed(), is(Executed.UNKNOWN));
        }
        RequestFailure refused =
                decide(new RequestFailure.NotAuthenticated(), KEY, LEASE_END_NANOS);
        assertThat(refused.code(), is("no_configuration_lease"));
        assertThat(refused.executed(), is(Executed.UNKNOWN));
    }

    /** Guards against doubt about a request that no instance ever sends. */
    @Test
    void malformedRequestWithKeyDidNotRun() {
        RequestFailure malformed = new RequestFailure.Malformed("body", "is no object");
        assertThat(decide(malformed, KEY, LEASE_END_NANOS - 1).executed(), is(Executed.NO));
    }

    private static RequestFailure decide(
            RequestFailure reason, Optional<IdempotencyKey> key, long nowNanos) {
        return EarlyRefusal.decide(reason, key, CONFIGURATION, nowNanos);
    }
}
