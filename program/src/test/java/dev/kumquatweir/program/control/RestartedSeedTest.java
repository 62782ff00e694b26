package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.agreement.port.StoredState;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.settings.PeerSettings;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a system that never starts: the first seed ended in its first start, comes back as
 * one that joins a group, and all others wait for it to create that group.
 */
final class RestartedSeedTest {
    private static final List<PeerSettings> SEEDS =
            Stream.of("a", "b", "c")
                    .map(
                            name ->
                                    new PeerSettings(
                                            new InstanceId(name),
                                            new InetSocketAddress(
                                                    InetAddress.getLoopbackAddress(), 1),
                                            new FailureDomain("zone"),
                                            true))
                    .toList();

    @Test
    void nextSeedCreatesTheGroupInPlaceOfOneThatJoins() {
        assertThat(decision("b", "a"), instanceOf(GroupBootstrap.Decision.Bootstrap.class));
    }

    @Test
    void onlyOneSeedCreatesTheGroup() {
        assertThat(decision("c", "a"), instanceOf(GroupBootstrap.Decision.Wait.class));
        assertThat(decision("b", ""), instanceOf(GroupBootstrap.Decision.Wait.class));
        assertThat(decision("a", "b"), instanceOf(GroupBootstrap.Decision.Bootstrap.class));
    }

    @Test
    void joiningInstanceHasNoMembersForEarlierBuilds() {
        GroupBootstrap.StoreReport report = report("a", "a");

        assertThat(GroupBootstrapper.decode(GroupBootstrapper.encode(report)).get(), is(report));
        assertThat(report.initialMembership(), is(Membership.EMPTY));
    }

    private static GroupBootstrap.Decision decision(String self, String joining) {
        Map<InstanceId, GroupBootstrap.StoreReport> reports =
                SEEDS.stream()
                        .map(PeerSettings::id)
                        .filter(id -> !id.value().equals(self))
                        .collect(
                                Collectors.toMap(
                                        Function.identity(), id -> report(id.value(), joining)));
        return new GroupBootstrap(new MemberId(self, "store-" + self), SEEDS).decide(reports);
    }

    private static GroupBootstrap.StoreReport report(String name, String joining) {
        String store = "store-" + name;
        return GroupBootstrap.StoreReport.of(
                new MemberId(name, store), StoredState.empty(store), !name.equals(joining));
    }
}
