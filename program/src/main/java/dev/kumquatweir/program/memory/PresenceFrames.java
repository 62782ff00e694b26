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
 * Sends the incarnation of this instance to the other instances and decodes theirs. Each frame
 * carries the full state, so the next frame replaces a lost one. Thread-safe.
 */
final class PresenceFrames {
    private static final int FIELDS = 2;

    private final PeerNetwork mNetwork;
    private final List<InstanceId> mPeers;
    private final long mIncarnation;

    /**
     * State that an instance reports.
     *
     * @param incarnation incarnation of the instance
     * @param ended whether this incarnation has stopped and none of its requests is running
     */
    record Presence(long incarnation, boolean ended) {}

    PresenceFrames(PeerNetwork network, List<InstanceId> peers, long incarnation) {
        mNetwork = network;
        mPeers = List.copyOf(peers);
        mIncarnation = incarnation;
    }

    /**
     * Sends the state of this instance to all peers.
     *
     * @param ended whether this incarnation has stopped
     */
    void broadcast(boolean ended) {
        Bytes content =
                new MessagePackWriter()
                        .writeArrayHeader(FIELDS)
                        .writeLong(mIncarnation)
                        .writeBoolean(ended)
                        .toBytes();
        mPeers.forEach(peer -> mNetwork.send(peer, FrameType.PRESENCE.number(), content));
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
