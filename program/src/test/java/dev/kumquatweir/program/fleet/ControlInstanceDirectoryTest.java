package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which control instances an instance keeps connections to. */
final class ControlInstanceDirectoryTest {
    private static final InstanceId FIRST = new InstanceId("10.0.0.1");
    private static final InstanceId SECOND = new InstanceId("10.0.0.2");
    private static final InstanceId THIRD = new InstanceId("10.0.0.3");

    private final List<Set<InstanceId>> mConnections = new ArrayList<>();
    private final ControlInstanceDirectory mDirectory =
            new ControlInstanceDirectory(
                    peers -> mConnections.add(peers.keySet()), 7340, List.of(FIRST));

    /**
     * Guards against a leader that drops its connections to a new member because that member
     * reports the initial membership while it is still catching up. It then never caught up, and
     * the group was one voter short when two more disks were lost (Kain Baru, hunt-b49e-7 and -15).
     */
    @Test
    void membersFromLowerLogIndexAreIgnored() {
        mDirectory.updateRemoteMembers(120, List.of(FIRST, SECOND, THIRD));
        mDirectory.updateRemoteMembers(1, List.of(FIRST));
        assertThat(mDirectory.controlInstances(), contains(FIRST, SECOND, THIRD));
    }

    /** Guards against remote reports that remove members known to the local replica. */
    @Test
    void remoteMembersDoNotReplaceLocalMembers() {
        mDirectory.setLocalMembers(List.of(FIRST, SECOND));
        mDirectory.updateRemoteMembers(500, List.of(FIRST));
        assertThat(mDirectory.controlInstances(), contains(FIRST, SECOND));
    }

    /** Guards against an instance that can't reconnect after all known members are gone. */
    @Test
    void seedsRemainKnown() {
        mDirectory.updateRemoteMembers(5, List.of(SECOND, THIRD));
        assertThat(mDirectory.controlInstances(), hasItem(FIRST));
        mDirectory.setSeeds(List.of(THIRD));
        assertThat(mDirectory.controlInstances(), contains(SECOND, THIRD));
    }
}
