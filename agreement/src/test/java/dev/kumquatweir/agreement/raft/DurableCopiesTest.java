package dev.kumquatweir.agreement.raft;

import static dev.kumquatweir.agreement.raft.RaftNodeHarness.OTHER_PEER;
import static dev.kumquatweir.agreement.raft.RaftNodeHarness.PEER;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Commit rule of a three-voter group that must survive the loss of two disks at once. */
final class DurableCopiesTest {
    private static final RaftSettings THREE_COPIES =
            RaftNodeHarness.settings(settings -> settings.durableCopies(3));

    /**
     * Guards against the loss of a committed entry: the disks of the leader and of the only other
     * voter that had synced it are lost.
     */
    @Test
    void entryIsCommittedOnlyAfterAllThreeVotersSyncedIt() {
        RaftNodeHarness node = RaftNodeHarness.bootstrapped(THREE_COPIES);
        node.winElection();
        long first = node.node().lastIndex();
        node.acknowledge(PEER, first);
        assertThat(node.node().commitIndex() < first, is(true));
        node.acknowledge(OTHER_PEER, first);
        assertThat(node.node().commitIndex(), is(first));
        node.propose("change");
        node.acknowledge(PEER, first + 1);
        assertThat(applied(node), hasSize(1));
        node.acknowledge(OTHER_PEER, first + 1);
        assertThat(applied(node), hasSize(2));
    }

    /** Guards against a group that requires more copies than it has voters and never commits. */
    @Test
    void entryIsCommittedByAllVotersIfTheyAreFewerThanDurableCopies() {
        RaftNodeHarness node =
                RaftNodeHarness.bootstrapped(
                        RaftNodeHarness.settings(settings -> settings.durableCopies(5)));
        node.winElection();
        long first = node.node().lastIndex();
        node.acknowledge(PEER, first);
        node.acknowledge(OTHER_PEER, first);
        assertThat(node.node().commitIndex(), is(first));
    }

    private static List<RaftOutput.Apply> applied(RaftNodeHarness node) {
        return node.outputs(RaftOutput.Apply.class);
    }
}
