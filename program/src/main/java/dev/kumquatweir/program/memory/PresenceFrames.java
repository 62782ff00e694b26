package dev.kumquatweir.program.memory;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.program.instance.FrameType;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.util.List;

/**
 * Tells the other instances the incarnation of this one. Every frame carries the whole state, so a
 * lost one is made good by the next. Thread-safe.
 */
final class PresenceFrames {
    private static final int FIELDS = 2;

    private final PeerNetwork mNetwork;
    private final List<InstanceId> mPeers;
    private final long mIncarnation;

    /**
     * The word of an instance.
     *
     * @param incarnation its incarnation
     * @param ended whether this incarnation has stopped and none of its work runs on
     */
    record Presence(long incarnation, boolean ended) {}

    PresenceFrames(PeerNetwork network, List<InstanceId> peers, long incarnation) {
        mNetwork = network;
        mPeers = List.copyOf(peers);
        mIncarnation = incarnation;
    }

    /** Tells the others that this instance runs or has ended. */
    void broadcast(boolean ended) {
        Bytes content =
                new MessagePackWriter()
                        .writeArrayHeader(FIELDS)
                        .writeLong(mIncarnation)
                        .writeBoolean(ended)
                        .toBytes();
        mPeers.forEach(other -> mNetwork.send(other, FrameType.PRESENCE.number(), content));
    }

    static Either<MalformedContent, Presence> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    reader.expectArrayHeader(FIELDS);
                    return new Presence(reader.readLong(), reader.readBoolean());
                });
    }
}
