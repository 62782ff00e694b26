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

/** Connects a replica to the peer network: Raft messages and control requests. */
final class ReplicaFrames {
    private static final EventLog LOG = EventLog.of(ReplicaFrames.class);

    private ReplicaFrames() {}

    /** Registers a handler that passes Raft messages of peers to the replica. */
    static void handleRaftMessages(PeerNetwork network, ReplicaEventLoop replica) {
        network.handle(
                FrameType.AGREEMENT.number(),
                (peer, payload, responder) -> receive(replica, peer, payload));
    }

    /**
     * Registers a handler for control requests of peers. Without a replica, all of them fail with
     * {@link ControlFailure.NotLeader}.
     */
    static void handleCommands(PeerNetwork network, @Nullable ReplicaEventLoop replica) {
        network.handle(
                FrameType.COMMAND.number(),
                (peer, payload, responder) -> handleCommand(replica, payload, responder));
    }

    /** Sends a Raft message without a delivery guarantee. */
    static void send(PeerNetwork network, RaftMessage message) {
        network.send(
                new InstanceId(message.to().name()),
                FrameType.AGREEMENT.number(),
                MessageCodec.encode(message));
    }

    private static void receive(ReplicaEventLoop replica, InstanceId peer, Bytes payload) {
        MessageCodec.decode(payload)
                .peekLeft(fault -> LOG.failure("frame_malformed", fault, "peer", peer))
                .peek(
                        message -> {
                            if (message.from().name().equals(peer.value())) {
                                replica.receive(message);
                            }
                        });
    }

    private static void handleCommand(
            @Nullable ReplicaEventLoop replica, Bytes payload, Responder responder) {
        if (replica == null) {
            respond(responder, new ControlReply.Failed(new ControlFailure.NotLeader("")));
            return;
        }
        ControlCodec.decodeRequest(payload)
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
