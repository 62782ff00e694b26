package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.placement.PlacementHelper;
import dev.kumquatweir.policy.placement.PlacementKey;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the report of engines that help with a running request. */
final class HelpedEventTest {
    /** Guards against a new leader that loses the memory reserved on helpers. */
    @Test
    void helpersAreReadAsWritten() {
        InstanceId owner = new InstanceId("10.1.0.1");
        PlacementEvent event =
                new PlacementEvent.Helped(
                        new PlacementKey(owner, 7),
                        List.of(
                                new PlacementHelper(new UpstreamId("engine-1"), "", 20_748),
                                new PlacementHelper(new UpstreamId("engine-2"), "", 0)));
        assertThat(
                PlacementEvent.decode(owner, PlacementEvent.encode(event, true, 0), 0).get(),
                is(event));
    }

    /** Guards against sending the report to a leader of an earlier version, which rejects it. */
    @Test
    void earlierVersionsAreNotSentHelpers() {
        assertThat(PeerCapabilities.NONE.helperMemory(), is(false));
        assertThat(PeerCapabilities.decode(PeerCapabilities.OWN.encode()).helperMemory(), is(true));
    }
}
