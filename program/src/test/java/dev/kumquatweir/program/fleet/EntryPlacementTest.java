package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.transport.ClusterKey;
import dev.kumquatweir.transport.PeerNetwork;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what an entry instance does with quarantined parts, with and without a leader. */
final class EntryPlacementTest {
    private static final InstanceId SELF = new InstanceId("entry");
    private static final InstanceId LEADER = new InstanceId("leader");
    private static final String PART = "5c1e07a2";
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PeerNetwork mNetwork =
            PeerNetwork.builder(
                            SELF,
                            "cluster",
                            ClusterKey.of("0123456789abcdef0123".getBytes(StandardCharsets.UTF_8)),
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .open()
                    .get();
    private final QuarantineDirectory mQuarantine = new QuarantineDirectory();
    private final List<PlacementAction> mActions = new ArrayList<>();
    private long mNowNanos;
    private final EntryPlacement mPlacement =
            new EntryPlacement(
                    SELF,
                    mNetwork,
                    mQuarantine,
                    new PlacementLimits(0.2, 10, 1_000),
                    new Clocks(() -> mNowNanos, () -> 1_000),
                    Runnable::run);

    @AfterEach
    void closeNetwork() {
        mNetwork.close();
    }

    /** Guards against requests that wait for a leader whose scheduler may lack the verdict. */
    @Test
    void requestWithQuarantinedPartIsRejectedWithoutTheLeader() {
        mPlacement.setLeader(LEADER, 1);
        learn(new QuarantineVerdict(PART, 7, false, 0));
        PlacementKey key = submit(List.of("91bd3f06", PART));
        assertThat(
                mActions,
                is(List.of(new PlacementAction.Reject(key, PlacementRefusal.QUARANTINED, 0))));
    }

    /** Guards against rejecting sound requests that share the other part of a pair. */
    @Test
    void verdictOnTwoPartsAppliesToRequestsWithBoth() {
        learn(new QuarantineVerdict(PART + "+91bd3f06", 7, false, 0));
        assertThat(mQuarantine.findQuarantined(List.of(PART), 0).isPresent(), is(false));
        assertThat(
                mQuarantine.findQuarantined(List.of("91bd3f06", "ee", PART), 0).isPresent(),
                is(true));
    }

    /** Guards against rejecting requests after the leader has withdrawn the verdict. */
    @Test
    void requestWithClearedPartGoesToTheLeader() {
        learn(new QuarantineVerdict(PART, 7, false, 0));
        learn(new QuarantineVerdict(PART, 8, true, 0));
        assertThat(mQuarantine.findQuarantined(List.of(PART), 0).isPresent(), is(false));
        mPlacement.setLeader(LEADER, 1);
        submit(List.of(PART));
        assertThat(
                mActions.stream()
                        .filter(action -> action instanceof PlacementAction.Reject)
                        .map(action -> ((PlacementAction.Reject) action).reason())
                        .filter(reason -> reason == PlacementRefusal.QUARANTINED)
                        .toList(),
                is(empty()));
    }

    /** Guards against losing a verdict that was found while no leader was in reach. */
    @Test
    void verdictFoundAloneIsKeptForTheOthers() {
        mNowNanos = 10 * SECOND_NANOS;
        mPlacement.applyVerdicts(List.of(new QuarantineVerdict(PART, 7, false, 0)), mNowNanos);
        mPlacement.tick(mNowNanos);
        assertThat(mQuarantine.changedSince(0, mNowNanos), hasSize(1));
    }

    /** Guards against publishing what the leader, which saw all answers, has not concluded. */
    @Test
    void crashesFromTheTimeOfTheLeaderAreNotPublished() {
        mPlacement.setLeader(LEADER, 1);
        mNowNanos = 10 * SECOND_NANOS;
        mPlacement.applyVerdicts(List.of(new QuarantineVerdict(PART, 7, false, 0)), mNowNanos);
        mPlacement.tick(mNowNanos);
        mNowNanos += SECOND_NANOS;
        mPlacement.clearLeader();
        mPlacement.tick(mNowNanos + SECOND_NANOS);
        assertThat(mQuarantine.changedSince(0, mNowNanos), is(empty()));
    }

    private void learn(QuarantineVerdict verdict) {
        mPlacement.applyVerdicts(mQuarantine.merge(LEADER, List.of(verdict), mNowNanos), mNowNanos);
    }

    private PlacementKey submit(List<String> parts) {
        PlacementKey key = mPlacement.newKey();
        mPlacement.submit(
                PlacementRequest.builder(key, "request", new ServiceName("engines"))
                        .sharedParts(parts)
                        .times(SECOND_NANOS, SECOND_NANOS, SECOND_NANOS)
                        .build(),
                mActions::add);
        return key;
    }
}
