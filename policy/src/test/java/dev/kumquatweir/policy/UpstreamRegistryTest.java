package dev.kumquatweir.policy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRegistry;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamRegistryTest {
    private static final UpstreamId ID = new UpstreamId("engine-1");
    private static final ServiceName SERVICE = new ServiceName("quote-llm");

    private final UpstreamRegistry mRegistry = new UpstreamRegistry();

    /** Guards against an upstream that no longer sends messages still getting work. */
    @Test
    void suspectsAndThenForgetsSilentUpstreams() {
        mRegistry.announce(announcement(1), 0);
        assertThat(mRegistry.live(SERVICE, UpstreamRegistry.SUSPECT_TIMEOUT_NANOS - 1), hasSize(1));
        assertThat(mRegistry.live(SERVICE, UpstreamRegistry.SUSPECT_TIMEOUT_NANOS), empty());
        assertThat(mRegistry.expire(UpstreamRegistry.EXPIRY_TIMEOUT_NANOS), hasSize(1));
        assertThat(mRegistry.find(ID).isPresent(), is(false));
    }

    /**
     * Guards against delayed messages of an earlier incarnation overriding those of its successor.
     */
    @Test
    void ignoresMessagesOfOlderIncarnations() {
        mRegistry.announce(announcement(2), 0);
        assertThat(mRegistry.announce(announcement(1), 1), is(false));
        assertThat(mRegistry.report(report(1, 9), 1), is(true));
        mRegistry.leave(ID, 1);
        assertThat(mRegistry.find(ID).orElseThrow().load(), nullValue());
        assertThat(mRegistry.find(ID).orElseThrow().announcement().incarnation(), is(2L));
    }

    /** Guards against an instance that missed an announcement never learning of the upstream. */
    @Test
    void asksUnknownUpstreamsToAnnounceThemselves() {
        assertThat(mRegistry.report(report(1, 1), 0), is(false));
        mRegistry.announce(announcement(1), 0);
        assertThat(mRegistry.report(report(2, 1), 0), is(false));
        assertThat(mRegistry.report(report(1, 1), 0), is(true));
    }

    private static Announcement announcement(long incarnation) {
        return new Announcement(
                ID,
                incarnation,
                "127.0.0.1:9",
                new FailureDomain("klang-a"),
                UpstreamKind.ENGINE,
                SERVICE,
                Set.of(),
                1_000,
                UpstreamRole.MIXED,
                true,
                false,
                new ColdLimit(1, 1_000),
                8);
    }

    private static LoadReport report(long incarnation, long sequence) {
        return new LoadReport(ID, incarnation, sequence, 1, 0, 10, 0, false);
    }
}
