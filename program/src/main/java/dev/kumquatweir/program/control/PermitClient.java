package dev.kumquatweir.program.control;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.policy.permit.PermitGrant;
import dev.kumquatweir.policy.permit.PermitHolder;
import dev.kumquatweir.policy.permit.PermitRequest;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.program.permit.PermitCodec;
import dev.kumquatweir.program.permit.PermitPort;
import dev.kumquatweir.program.permit.PermitResponse;
import dev.kumquatweir.program.permit.UpstreamObservations;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.Responder;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/**
 * Carries permit renewals to the instance that probably leads, and answers those of other
 * instances. The lease renewal, which asks as often, finds the leader. Thread-safe.
 */
final class PermitClient implements PermitPort {
    private static final EventLog LOG = EventLog.of(PermitClient.class);

    private final InstanceId mSelf;
    private final LeaderClient mLeader;
    private final PeerNetwork mNetwork;
    private final @Nullable ReplicaDuty mReplica;
    private final UpstreamObservations mObservations;

    PermitClient(
            InstanceId self,
            LeaderClient leader,
            PeerNetwork network,
            @Nullable ReplicaDuty replica,
            UpstreamObservations observations) {
        mSelf = self;
        mLeader = leader;
        mNetwork = network;
        mReplica = replica;
        mObservations = observations;
    }

    /** Begins to answer other instances. */
    void start() {
        mNetwork.handle(FrameType.PERMIT.number(), this::answer);
    }

    @Override
    public CompletionStage<Optional<PermitGrant>> renew(PermitRequest request) {
        InstanceId target = mLeader.believedLeader();
        ReplicaDuty replica = mReplica;
        if (target.equals(mSelf) && replica != null) {
            return replica.renew(request);
        }
        return mNetwork.request(
                        target,
                        FrameType.PERMIT.number(),
                        PermitCodec.encode(request),
                        PermitHolder.ANSWER_TIMEOUT_NANOS)
                .thenApply(
                        result ->
                                result.toJavaOptional()
                                        .flatMap(
                                                content ->
                                                        PermitCodec.decodeResponse(content)
                                                                .toJavaOptional())
                                        .flatMap(PermitResponse::grant));
    }

    @Override
    public UpstreamObservations observations() {
        return mObservations;
    }

    private void answer(InstanceId peer, Bytes payload, Responder responder) {
        ReplicaDuty replica = mReplica;
        if (replica == null) {
            respond(responder, Optional.empty(), "");
            return;
        }
        PermitCodec.decodeRequest(payload)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", peer))
                .filter(request -> request.holder().equals(peer))
                .peek(
                        decoded ->
                                decoded.peek(
                                        request ->
                                                replica.renew(request)
                                                        .thenAccept(
                                                                grant ->
                                                                        respond(
                                                                                responder,
                                                                                grant,
                                                                                leader(replica)))));
    }

    private static String leader(ReplicaDuty replica) {
        return replica.leader().map(InstanceId::value).orElse("");
    }

    private static void respond(Responder responder, Optional<PermitGrant> grant, String leader) {
        responder.respond(PermitCodec.encode(new PermitResponse(grant, leader)));
    }
}
