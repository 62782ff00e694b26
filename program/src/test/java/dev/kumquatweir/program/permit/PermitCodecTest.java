package dev.kumquatweir.program.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.policy.permit.FirstTokenEvidence;
import dev.kumquatweir.policy.permit.PermitClaim;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitPart;
import dev.kumquatweir.policy.permit.PermitRequest;
import dev.kumquatweir.policy.permit.PermitResource;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The form of permit renewals. */
class PermitCodecTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine-1");
    private static final InstanceId HOLDER = new InstanceId("entry-1");
    private static final PermitRequest REQUEST =
            new PermitRequest(
                    HOLDER,
                    1_764_820_000_000L,
                    7,
                    List.of(
                            new PermitClaim(
                                    "a",
                                    List.of(
                                            part(new PermitResource.ColdRequests(ENGINE)),
                                            part(new PermitResource.ColdPrefill(ENGINE)),
                                            part(new PermitResource.EngineMemory(ENGINE))),
                                    true,
                                    false),
                            new PermitClaim(
                                    "b",
                                    List.of(
                                            part(new PermitResource.SuspectRun("c0ffee")),
                                            part(new PermitResource.WeightStoreLoads())),
                                    false,
                                    true)),
                    List.of(new FirstTokenEvidence(ENGINE, 3, 4, 1)));

    /** Guards against a kind of resource that other instances can't read. */
    @Test
    void requestsRoundTrip() {
        assertThat(PermitCodec.decodeRequest(PermitCodec.encode(REQUEST)).get(), equalTo(REQUEST));
    }

    /** Guards against a refusal that reads as a grant, and the reverse. */
    @Test
    void responsesRoundTrip() {
        PermitGrant grant = new PermitGrant(HOLDER, 5, 7, Set.of("a", "b"));
        for (PermitResponse response :
                List.of(
                        new PermitResponse(Optional.of(grant), "entry-2"),
                        new PermitResponse(Optional.empty(), ""))) {
            assertThat(
                    PermitCodec.decodeResponse(PermitCodec.encode(response)).get(),
                    equalTo(response));
        }
    }

    /** Guards against an exception on the thread that reads frames. */
    @Test
    void truncatedAndExtendedRequestsAreMalformed() {
        byte[] whole = PermitCodec.encode(REQUEST).toArray();
        for (int length = 0; length < whole.length; length++) {
            Bytes cut = Bytes.copyOf(Arrays.copyOf(whole, length));
            assertThat("cut at " + length, PermitCodec.decodeRequest(cut).isLeft(), is(true));
        }
        Bytes longer = Bytes.copyOf(Arrays.copyOf(whole, whole.length + 1));
        assertThat(
                PermitCodec.decodeRequest(longer).getLeft().message(), containsString("left-over"));
    }

    /** Guards against claims that the records or the ledger would refuse with an exception. */
    @Test
    void invalidClaimsAreMalformed() {
        assertThat(problem("cold_requests", "engine-1", 0, 1), containsString("below 1"));
        assertThat(problem("cold_requests", "engine-1", 1, 2), containsString("twice"));
        assertThat(problem("no_such_kind", "engine-1", 1, 1), containsString("no resource"));
        assertThat(problem("weight_store_loads", "x", 1, 1), containsString("no name"));
        PermitClaim claim = REQUEST.claims().get(0);
        PermitRequest twice = new PermitRequest(HOLDER, 1, 1, List.of(claim, claim), List.of());
        assertThat(
                PermitCodec.decodeRequest(PermitCodec.encode(twice)).getLeft().message(),
                containsString("listed twice"));
    }

    private static String problem(String kind, String name, long amount, int parts) {
        MessagePackWriter writer =
                new MessagePackWriter()
                        .writeArrayHeader(5)
                        .writeString("entry-1")
                        .writeLong(1)
                        .writeLong(1);
        writer.writeArrayHeader(1).writeArrayHeader(4).writeString("a").writeArrayHeader(parts);
        for (int count = 0; count < parts; count++) {
            writer.writeArrayHeader(4)
                    .writeString(kind)
                    .writeString(name)
                    .writeLong(1)
                    .writeLong(amount);
        }
        writer.writeBoolean(false).writeBoolean(false).writeArrayHeader(0);
        return PermitCodec.decodeRequest(writer.toBytes()).getLeft().message();
    }

    private static PermitPart part(PermitResource resource) {
        return new PermitPart(resource, 9, 1_000);
    }
}
