package dev.kumquatweir.program.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.transport.ClusterKey;
import dev.kumquatweir.transport.PeerNetwork;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an instance that never finds the leader again: it was removed from the group while
 * it was cut off, and the group is led by an instance that it doesn't know as a voter.
 */
final class LeaderClientTest {
    private static final InstanceId SELF = new InstanceId("127.0.0.1");
    private static final List<InstanceId> VOTERS =
            Stream.of("a", "b", "c").map(InstanceId::new).toList();
    private static final InstanceId NEW_LEADER = new InstanceId("d");

    private final PeerNetwork mNetwork =
            PeerNetwork.builder(
                            SELF,
                            "cluster",
                            ClusterKey.of(
                                    "key-of-the-leader-test".getBytes(StandardCharsets.UTF_8)),
                            new InetSocketAddress(SELF.value(), 0))
                    .open()
                    .get();
    private final LeaderClient mClient =
            new LeaderClient(SELF, VOTERS, mNetwork, null, Clocks.system());

    @AfterEach
    void closeNetwork() {
        mNetwork.close();
    }

    @Test
    void followsTheNameOfLeaderThatIsNoKnownVoter() {
        mClient.handleNotLeader(VOTERS.get(1), NEW_LEADER.value());

        assertThat(mClient.likelyLeader(), is(NEW_LEADER));
    }

    /** Each voter may name an instance that has gone; all voters are asked nevertheless. */
    @Test
    void asksTheNextVoterWhenTheNamedLeaderIsGone() {
        List<InstanceId> asked =
                Stream.generate(this::nextVoterAfterNamedLeaderFailed).limit(3).toList();

        assertThat(asked, contains(VOTERS.get(1), VOTERS.get(2), VOTERS.get(0)));
    }

    private InstanceId nextVoterAfterNamedLeaderFailed() {
        mClient.handleNotLeader(mClient.likelyLeader(), NEW_LEADER.value());
        mClient.handleNotLeader(mClient.likelyLeader(), "");
        return mClient.likelyLeader();
    }
}
