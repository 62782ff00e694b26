package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;

import dev.kumquatweir.core.identity.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which control instances an instance keeps connections to. */
final class ControlInstanceDirectoryTest {
    private static final InstanceId FIRST = new InstanceId("10.0.0.1");
    private static final InstanceId SECOND = new InstanceId("10.0.0.2");
    private static final InstanceId THIRD = new InstanceId("10.0.0.3");

    private final List<Set<InstanceId>> mConnections = new ArrayList<>();
    private final ControlInstanceDirectory mDirectory =
            new ControlInstanceDirectory(
                    peers -> mConnections.add(peers.keySet()), 7340, List.of(FIRST));

    /**
     * Guards against a leader that drops its connections to a new member, since that member still
     * knows the first membership while it catches up: it never did catch up then, and the group
     * stayed one voter short when two more disks were lost (Kain Baru, hunt-b49e-7 and -15).
     */
    @Test
    void membersFromLowerLogIndexAreIgnored() {
        mDirectory.updateRemoteMembers(120, List.of(FIRST, SECOND, THIRD));
        mDirectory.updateRemoteMembers(1, List.of(FIRST));
        assertThat(mDirectory.controlInstances(), contains(FIRST, SECOND, THIRD));
    }

    /** Guards against members of the own replica that others talk it out of. */
    @Test
    void remoteMembersDoNotReplaceLocalMembers() {
        mDirectory.setLocalMembers(List.of(FIRST, SECOND));
        mDirectory.updateRemoteMembers(500, List.of(FIRST));
        assertThat(mDirectory.controlInstances(), contains(FIRST, SECOND));
    }

    /** Guards against an instance that forgets how to come back when all members are gone. */
    @Test
    void seedsRemainKnown() {
        mDirectory.updateRemoteMembers(5, List.of(SECOND, THIRD));
        assertThat(mDirectory.controlInstances(), hasItem(FIRST));
        mDirectory.setSeeds(List.of(THIRD));
        assertThat(mDirectory.controlInstances(), contains(SECOND, THIRD));
    }
}
