package dev.kumquatweir.program.fleet;

import dev.kumquatweir.agreement.codec.StateCodec;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.core.routing.UpstreamPhase;
import dev.kumquatweir.core.routing.UpstreamStatus;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * What a control instance tells of itself, the group and the upstreams that report to it.
 *
 * @param term term of its replica
 * @param leading whether it leads and may schedule
 * @param members members of the group that it knows
 * @param membersIndex how far in the log it was when it learned of them
 * @param entries entry instances that watch it
 * @param routing routing image, if it is newer than the one known
 * @param directoryLife which life of the process the revision is from
 * @param directoryRevision revision up to which the notices go
 * @param notices notices heard there since the revision that was known
 */
record WatchAnswer(
        long term,
        boolean leading,
        List<InstanceId> members,
        long membersIndex,
        int entries,
        Optional<RoutingImage> routing,
        long directoryLife,
        long directoryRevision,
        List<HeardNotice> notices) {
    WatchAnswer {
        members = List.copyOf(members);
        notices = List.copyOf(notices);
    }

    Bytes encode() {
        MessagePackWriter writer = new MessagePackWriter().writeLong(term).writeBoolean(leading);
        writer.writeList(members, (target, member) -> target.writeString(member.value()));
        writer.writeLong(membersIndex).writeLong(entries);
        writer.writeList(routing.stream().toList(), StateCodec::writeRouting);
        writer.writeLong(directoryLife).writeLong(directoryRevision);
        writer.writeList(notices, WatchAnswer::write);
        return writer.toBytes();
    }

    static Either<MalformedContent, WatchAnswer> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader ->
                        new WatchAnswer(
                                reader.readLong(),
                                reader.readBoolean(),
                                reader.readList(source -> new InstanceId(source.readString())),
                                reader.readLong(),
                                reader.readInt(),
                                reader.readList(StateCodec::readRouting).stream().findFirst(),
                                reader.readLong(),
                                reader.readLong(),
                                reader.readList(WatchAnswer::read)));
    }

    private static void write(MessagePackWriter writer, HeardNotice heard) {
        UpstreamStatus notice = heard.notice();
        writer.writeString(notice.id().value()).writeLong(notice.startedAtMillis());
        writer.writeString(notice.service().value()).writeString(notice.address());
        writer.writeString(notice.domain().value()).writeLong(notice.slots());
        writer.writeString(notice.phase().name()).writeLong(notice.coldRemainingMillis());
        writer.writeLong(notice.sequence()).writeLong(heard.ageMillis());
    }

    private static HeardNotice read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        UpstreamStatus notice =
                new UpstreamStatus(
                        new UpstreamId(reader.readString()),
                        reader.readLong(),
                        new ServiceName(reader.readString()),
                        reader.readString(),
                        new FailureDomain(reader.readString()),
                        reader.readInt(),
                        phase(reader.readString()),
                        reader.readLong(),
                        reader.readLong());
        return new HeardNotice(notice, reader.readLong());
    }

    private static UpstreamPhase phase(String name) throws MalformedContentException {
        try {
            return UpstreamPhase.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new MalformedContentException("no phase " + name);
        }
    }
}
