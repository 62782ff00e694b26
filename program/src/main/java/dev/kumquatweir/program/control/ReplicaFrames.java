package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.MessageCodec;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import dev.kumquatweir.transport.Responder;
import org.jspecify.annotations.Nullable;

/** Carries the messages and requests of a replica over the peer network. Holds no state. */
final class ReplicaFrames {
    private static final EventLog LOG = EventLog.of(ReplicaFrames.class);

    private ReplicaFrames() {}

    /** Passes agreement messages of peers to a replica. */
    static void handleAgreement(PeerNetwork network, ReplicaDuty replica) {
        network.handle(
                FrameType.AGREEMENT.number(),
                (peer, payload, responder) -> receive(replica, peer, payload));
    }

    /** Answers the requests of peers, all as not leading if there is no replica. */
    static void handleCommands(PeerNetwork network, @Nullable ReplicaDuty replica) {
        network.handle(
                FrameType.COMMAND.number(),
                (peer, payload, responder) -> command(replica, payload, responder));
    }

    /** Sends an agreement message; it may be lost. */
    static void send(PeerNetwork network, RaftMessage message) {
        network.send(
                new InstanceId(message.to().name()),
                FrameType.AGREEMENT.number(),
                MessageCodec.encode(message));
    }

    private static void receive(ReplicaDuty replica, InstanceId peer, Bytes payload) {
        MessageCodec.decode(payload)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", peer))
                .peek(
                        message -> {
                            if (message.from().name().equals(peer.value())) {
                                replica.receive(message);
                            }
                        });
    }

    private static void command(@Nullable ReplicaDuty replica, Bytes payload, Responder responder) {
        if (replica == null) {
            respond(responder, new ControlReply.Failed(new ControlFailure.NotLeader("")));
            return;
        }
        ControlCodec.request(payload)
                .peek(
                        request ->
                                replica.handle(request)
                                        .thenAccept(reply -> respond(responder, reply)))
                .peekLeft(
                        fault ->
                                respond(
                                        responder,
                                        new ControlReply.Failed(
                                                new ControlFailure.Malformed(fault.message()))));
    }

    private static void respond(Responder responder, ControlReply reply) {
        responder.respond(ControlCodec.encode(reply));
    }
}
