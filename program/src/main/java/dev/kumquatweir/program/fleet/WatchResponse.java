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
 * Response of a control instance to a {@link WatchRequest}: its own state, the group and the
 * upstreams that report to it.
 *
 * @param term term of its replica
 * @param leading whether it is the leader and may schedule
 * @param members group members known to it
 * @param membersIndex its commit index when it learned of the members
 * @param entryCount number of entry instances that watch it
 * @param carriers some of them that reach upstreams
 * @param newerRouting routing image, empty unless it is newer than the watcher's
 * @param directoryIncarnation start of the process to which the revision belongs
 * @param directoryRevision revision of its directory, included in {@code statuses}
 * @param statuses statuses that it received after the watcher's revision
 * @param quarantineRevision revision of its quarantine directory, included in {@code verdicts}
 * @param verdicts verdicts on parts of prompts that it learned after the watcher's revision
 */
record WatchResponse(
        long term,
        boolean leading,
        List<InstanceId> members,
        long membersIndex,
        int entryCount,
        List<InstanceId> carriers,
        Optional<RoutingImage> newerRouting,
        long directoryIncarnation,
        long directoryRevision,
        List<AgedUpstreamStatus> statuses,
        long quarantineRevision,
        List<QuarantineVerdict> verdicts) {
    WatchResponse {
        members = List.copyOf(members);
        carriers = List.copyOf(carriers);
        statuses = List.copyOf(statuses);
        verdicts = List.copyOf(verdicts);
    }

    /** Returns this response with another routing image. */
    WatchResponse withRouting(Optional<RoutingImage> routing) {
        return new WatchResponse(
                term,
                leading,
                members,
                membersIndex,
                entryCount,
                carriers,
                routing,
                directoryIncarnation,
                directoryRevision,
                statuses,
                quarantineRevision,
                verdicts);
    }

    Bytes encode() {
        MessagePackWriter writer = new MessagePackWriter().writeLong(term).writeBoolean(leading);
        writer.writeList(members, (target, member) -> target.writeString(member.value()));
        writer.writeLong(membersIndex).writeLong(entryCount);
        writer.writeList(carriers, (target, carrier) -> target.writeString(carrier.value()));
        writer.writeList(newerRouting.stream().toList(), StateCodec::writeRouting);
        writer.writeLong(directoryIncarnation).writeLong(directoryRevision);
        writer.writeList(statuses, WatchResponse::write);
        writer.writeLong(quarantineRevision);
        writer.writeList(verdicts, QuarantineVerdict::write);
        return writer.toBytes();
    }

    static Either<MalformedContent, WatchResponse> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader ->
                        new WatchResponse(
                                reader.readLong(),
                                reader.readBoolean(),
                                reader.readList(source -> new InstanceId(source.readString())),
                                reader.readLong(),
                                reader.readInt(),
                                reader.readList(source -> new InstanceId(source.readString())),
                                reader.readList(StateCodec::readRouting).stream().findFirst(),
                                reader.readLong(),
                                reader.readLong(),
                                reader.readList(WatchResponse::read),
                                reader.readLong(),
                                reader.readList(QuarantineVerdict::read)));
    }

    /** Decodes a response whose routing document is compressed. */
    static Either<MalformedContent, WatchResponse> decodeCompact(Bytes content) {
        return decode(content)
                .flatMap(
                        response ->
                                response.newerRouting().isEmpty()
                                        ? Either.right(response)
                                        : CompactRouting.expand(response.newerRouting().get())
                                                .map(
                                                        routing ->
                                                                response.withRouting(
                                                                        Optional.of(routing))));
    }

    private static void write(MessagePackWriter writer, AgedUpstreamStatus aged) {
        UpstreamStatus status = aged.status();
        writer.writeString(status.id().value()).writeLong(status.startedAtMillis());
        writer.writeString(status.service().value()).writeString(status.address());
        writer.writeString(status.domain().value()).writeLong(status.slots());
        writer.writeString(status.phase().name()).writeLong(status.coldRemainingMillis());
        writer.writeLong(status.sequence()).writeLong(aged.ageMillis());
    }

    private static AgedUpstreamStatus read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        UpstreamStatus status =
                new UpstreamStatus(
                        new UpstreamId(reader.readString()),
                        reader.readLong(),
                        new ServiceName(reader.readString()),
                        reader.readString(),
                        new FailureDomain(reader.readString()),
                        reader.readInt(),
                        parsePhase(reader.readString()),
                        reader.readLong(),
                        reader.readLong());
        return new AgedUpstreamStatus(status, reader.readLong());
    }

    private static UpstreamPhase parsePhase(String name) throws MalformedContentException {
        try {
            return UpstreamPhase.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new MalformedContentException("unknown upstream phase: " + name);
        }
    }
}
