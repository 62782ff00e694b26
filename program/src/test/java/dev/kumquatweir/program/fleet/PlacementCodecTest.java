package dev.kumquatweir.program.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementHelper;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the messages between entry instances and the scheduler. */
final class PlacementCodecTest {
    private static final InstanceId OWNER = new InstanceId("10.0.0.1");
    private static final PlacementKey KEY = new PlacementKey(OWNER, 7);
    private static final long MILLISECOND_NANOS = 1_000_000;
    private static final String FRAME_OF_97226B3 =
            "07a772657175657374a7656e67696e6573a0ce000493e0ce001e8480ce00989680cd13"
                    + "88cd064accc80091a3692d39c3a092a83563316530376132a83931626433663036";

    /** Guards against sending clock values, which are meaningless on another machine. */
    @Test
    void timesAreTransferredAsRemainingDurations() {
        Bytes content =
                PlacementCodec.encode(
                        request(1_000 * MILLISECOND_NANOS), false, 1_000 * MILLISECOND_NANOS);
        PlacementRequest read =
                PlacementCodec.decodeRequest(OWNER, content, 5_000 * MILLISECOND_NANOS).get();
        assertThat(read.targetNanos(), is(5_300 * MILLISECOND_NANOS));
        assertThat(read.latestStartNanos(), is(7_000 * MILLISECOND_NANOS));
        assertThat(read.deadlineNanos(), is(15_000 * MILLISECOND_NANOS));
        assertThat(read.key(), is(KEY));
        assertThat(read.excluded(), is(Set.of(new UpstreamId("i-9"))));
        assertThat(read.retry(), is(true));
    }

    /** Guards against crashes that can't be attributed because the scheduler has no parts. */
    @Test
    void sharedPartsRoundTrip() {
        Bytes content = PlacementCodec.encode(request(0), false, 0);
        PlacementRequest read = PlacementCodec.decodeRequest(OWNER, content, 0).get();
        assertThat(read.sharedParts(), is(List.of("5c1e07a2", "91bd3f06")));
    }

    /** Guards against details that an instance of this version loses. */
    @Test
    void detailsRoundTripBetweenInstancesOfThisVersion() {
        Bytes content = PlacementCodec.encode(request(0), true, 0);
        PlacementRequest read = PlacementCodec.decodeRequest(OWNER, content, 0).get();
        assertThat(read.team(), is("team-1"));
        assertThat(read.route(), is("route-1"));
        assertThat(read.outputLimitTokens(), is(2_000L));
        assertThat(read.outputHintTokens(), is(700L));
    }

    /**
     * Guards against a frame that an instance of 97226b3 rejects for left-over bytes: without
     * details the content is the one that it wrote itself.
     */
    @Test
    void requestWithoutDetailsIsTheFrameOfTheEarlierVersion() {
        Bytes content = PlacementCodec.encode(request(0), false, 0);
        assertThat(HexFormat.of().formatHex(content.toArray()), is(FRAME_OF_97226B3));
        PlacementRequest read = PlacementCodec.decodeRequest(OWNER, content, 0).get();
        assertThat(read.team(), is(""));
        assertThat(read.outputLimitTokens(), is(0L));
    }

    /** Guards against a newer instance that reports more extensions than this version knows. */
    @Test
    void unknownCapabilitiesAreIgnored() {
        PeerCapabilities later = new PeerCapabilities(Set.of("placement-details", "later"));
        assertThat(PeerCapabilities.decode(later.encode()).placementDetails(), is(true));
        assertThat(PeerCapabilities.decode(Bytes.ofText("x")), is(PeerCapabilities.NONE));
        assertThat(
                PeerCapabilities.decode(PeerCapabilities.OWN.encode()).placementDetails(),
                is(true));
    }

    /** Guards against grants that lose a helper or its reservation in the encoding. */
    @Test
    void decisionsRoundTrip() {
        PlacementHelper helper =
                new PlacementHelper(new UpstreamId("i-2"), "10.0.0.2:8000", 90_000);
        PlacementAction grant =
                new PlacementAction.Grant(
                        KEY,
                        new PlacementGrant(
                                new UpstreamId("i-1"), "10.0.0.1:8000", 120, List.of(helper)));
        PlacementAction reject =
                new PlacementAction.Reject(KEY, PlacementRefusal.REPEAT_BUDGET, 700);
        for (PlacementAction action : List.of(grant, reject)) {
            Bytes content = PlacementCodec.encode(Optional.of(action));
            assertThat(PlacementCodec.decodeAction(KEY, content).get(), is(Optional.of(action)));
        }
        Bytes none = PlacementCodec.encode(Optional.empty());
        assertThat(PlacementCodec.decodeAction(KEY, none).get(), is(Optional.empty()));
    }

    /** Guards against malformed content of a peer that stops the event loop. */
    @Test
    void malformedContentIsRejected() {
        assertThat(PlacementCodec.decodeRequest(OWNER, Bytes.ofText("x"), 0).isLeft(), is(true));
        assertThat(PlacementEvent.decode(OWNER, Bytes.ofText("x"), 0).isLeft(), is(true));
        assertThat(WatchResponse.decode(Bytes.ofText("x")).isLeft(), is(true));
        assertThat(WatchRequest.decode(Bytes.ofText("x")).isLeft(), is(true));
    }

    /** Guards against events that are decoded as a different event. */
    @Test
    void eventsRoundTrip() {
        List<PlacementEvent> events =
                List.of(
                        new PlacementEvent.Started(KEY),
                        new PlacementEvent.Delayed(KEY, 320),
                        new PlacementEvent.Withdrawn(KEY),
                        new PlacementEvent.Measured(KEY, 35),
                        new PlacementEvent.Ended(KEY, PlacementOutcome.BROKEN, "10.0.0.3:8000"));
        for (PlacementEvent event : events) {
            Bytes content = PlacementEvent.encode(event, false, 0);
            assertThat(PlacementEvent.decode(OWNER, content, 0).get(), is(event));
        }
    }

    private static PlacementRequest request(long nowNanos) {
        return PlacementRequest.builder(KEY, "request", new ServiceName("engines"))
                .times(
                        nowNanos + 300 * MILLISECOND_NANOS,
                        nowNanos + 2_000 * MILLISECOND_NANOS,
                        nowNanos + 10_000 * MILLISECOND_NANOS)
                .generation(5_000, 1_610, 200)
                .origin("team-1", "route-1")
                .output(2_000, 700)
                .sharedParts(List.of("5c1e07a2", "91bd3f06"))
                .previousAttempts(Set.of(new UpstreamId("i-9")), true)
                .build();
    }
}
