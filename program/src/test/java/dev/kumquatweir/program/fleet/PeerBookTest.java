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
final class PeerBookTest {
    private static final InstanceId FIRST = new InstanceId("10.0.0.1");
    private static final InstanceId SECOND = new InstanceId("10.0.0.2");
    private static final InstanceId THIRD = new InstanceId("10.0.0.3");

    private final List<Set<InstanceId>> mConnections = new ArrayList<>();
    private final PeerBook mBook =
            new PeerBook(peers -> mConnections.add(peers.keySet()), 7340, List.of(FIRST));

    /**
     * Guards against a leader that drops its connections to a new member, since that member still
     * knows the first membership while it catches up: it never did catch up then, and the group
     * stayed one voter short when two more disks were lost (Kain Baru, hunt-b49e-7 and -15).
     */
    @Test
    void instanceThatLagsChangesNothing() {
        mBook.heard(120, List.of(FIRST, SECOND, THIRD));
        mBook.heard(1, List.of(FIRST));
        assertThat(mBook.controlInstances(), contains(FIRST, SECOND, THIRD));
    }

    /** Guards against members of the own replica that others talk it out of. */
    @Test
    void membersOfTheOwnReplicaStay() {
        mBook.own(List.of(FIRST, SECOND));
        mBook.heard(500, List.of(FIRST));
        assertThat(mBook.controlInstances(), contains(FIRST, SECOND));
    }

    /** Guards against an instance that forgets how to come back when all members are gone. */
    @Test
    void seedsStay() {
        mBook.heard(5, List.of(SECOND, THIRD));
        assertThat(mBook.controlInstances(), hasItem(FIRST));
        mBook.seeds(List.of(THIRD));
        assertThat(mBook.controlInstances(), contains(SECOND, THIRD));
    }
}
