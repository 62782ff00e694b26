package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementLimits;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.PlacementScheduler;
import dev.kumquatweir.transport.ClusterKey;
import dev.kumquatweir.transport.PeerNetwork;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
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
    private final List<Runnable> mCallbacks = new CopyOnWriteArrayList<>();
    private long mNowNanos;
    private final EntryPlacement mPlacement =
            new EntryPlacement(
                    SELF,
                    SchedulerLink.over(mNetwork),
                    mQuarantine,
                    new PlacementScheduler(new PlacementLimits(0.2, 10, 1_000)),
                    new Clocks(() -> mNowNanos, () -> 1_000),
                    mCallbacks::add);

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
        assertThat(find(List.of(PART)).isPresent(), is(false));
        assertThat(find(List.of("91bd3f06", "ee", PART)).isPresent(), is(true));
    }

    /** Guards against rejecting requests after the leader has withdrawn the verdict. */
    @Test
    void requestWithClearedPartGoesToTheLeader() {
        mPlacement.setLeader(LEADER, 1);
        learn(new QuarantineVerdict(PART, 7, false, 0));
        learn(new QuarantineVerdict(PART, 8, true, 0));
        submit(List.of(PART));
        assertThat(mActions, not(hasItem(instanceOf(PlacementAction.Reject.class))));
    }

    /** Guards against a quarantine in which the leader can't let a request try the part. */
    @Test
    void requestGoesToTheLeaderLongAfterTheLastCrash() {
        mPlacement.setLeader(LEADER, 1);
        learn(new QuarantineVerdict(PART, 7, false, 0));
        mNowNanos = TimeUnit.MINUTES.toNanos(5);
        submit(List.of(PART));
        assertThat(mActions, not(hasItem(instanceOf(PlacementAction.Reject.class))));
    }

    /** Guards against losing a verdict that was found while no leader was in reach. */
    @Test
    void verdictFoundAloneIsKeptForTheOthers() {
        mNowNanos = 10 * SECOND_NANOS;
        findLocally();
        mPlacement.tick(mNowNanos);
        assertThat(mQuarantine.isQuarantined(PART, mNowNanos), is(true));
    }

    /** Guards against publishing what the leader, which saw all answers, has not concluded. */
    @Test
    void crashesFromTheTimeOfTheLeaderAreNotPublished() {
        mPlacement.setLeader(LEADER, 1);
        mNowNanos = 10 * SECOND_NANOS;
        findLocally();
        mPlacement.tick(mNowNanos);
        mNowNanos += SECOND_NANOS;
        mPlacement.clearLeader();
        mPlacement.tick(mNowNanos + SECOND_NANOS);
        assertThat(mQuarantine.isQuarantined(PART, mNowNanos), is(false));
    }

    private void learn(QuarantineVerdict verdict) {
        mPlacement.applyVerdicts(mQuarantine.merge(LEADER, List.of(verdict), mNowNanos), mNowNanos);
    }

    /** Lets the local scheduler have a part in quarantine that the directory doesn't know. */
    private void findLocally() {
        learn(new QuarantineVerdict(PART, 7, false, 0));
        mQuarantine.merge(LEADER, List.of(new QuarantineVerdict(PART, 8, true, 0)), mNowNanos);
    }

    private Optional<String> find(List<String> promptParts) {
        return mQuarantine.findQuarantined(promptParts, Long.MAX_VALUE, mNowNanos);
    }

    private PlacementKey submit(List<String> parts) {
        PlacementKey key = mPlacement.newKey();
        mPlacement.submit(
                PlacementRequest.builder(key, "request", new ServiceName("engines"))
                        .sharedParts(parts)
                        .times(
                                mNowNanos + SECOND_NANOS,
                                mNowNanos + SECOND_NANOS,
                                mNowNanos + SECOND_NANOS)
                        .build(),
                mActions::add);
        return key;
    }
}
