package dev.kumquatweir.agreement.raft;

import static dev.kumquatweir.agreement.raft.LoneNode.OTHER;
import static dev.kumquatweir.agreement.raft.LoneNode.PEER;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A group of three voters whose operators expect to lose two disks at once. */
final class DurableCopiesTest {
    private static final RaftSettings COPIES =
            LoneNode.settings(settings -> settings.durableCopies(3));

    /**
     * Guards against a confirmation that is gone when the disks of the leader and of the only other
     * voter that had synced are lost.
     */
    @Test
    void changeIsConfirmedOnlyWhenAllThreeHaveSyncedIt() {
        LoneNode node = LoneNode.founded(COPIES);
        node.elect();
        long first = node.node().lastIndex();
        node.acknowledge(PEER, first);
        assertThat(node.node().commitIndex() < first, is(true));
        node.acknowledge(OTHER, first);
        assertThat(node.node().commitIndex(), is(first));
        node.propose("change");
        node.acknowledge(PEER, first + 1);
        assertThat(applied(node), hasSize(1));
        node.acknowledge(OTHER, first + 1);
        assertThat(applied(node), hasSize(2));
    }

    /** Guards against a group that needs more copies than it has voters and never confirms. */
    @Test
    void allVotersAreEnough() {
        LoneNode node = LoneNode.founded(LoneNode.settings(settings -> settings.durableCopies(5)));
        node.elect();
        long first = node.node().lastIndex();
        node.acknowledge(PEER, first);
        node.acknowledge(OTHER, first);
        assertThat(node.node().commitIndex(), is(first));
    }

    private static List<RaftOutput.Apply> applied(LoneNode node) {
        return node.outputs(RaftOutput.Apply.class);
    }
}
