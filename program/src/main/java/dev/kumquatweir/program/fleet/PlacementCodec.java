package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.policy.placement.PlacementAction;
import dev.kumquatweir.policy.placement.PlacementGrant;
import dev.kumquatweir.policy.placement.PlacementHelper;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementRefusal;
import dev.kumquatweir.policy.placement.PlacementRequest;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Wire format of placement requests and decisions. Points in time are sent as remaining durations,
 * since monotonic clocks of two machines are not comparable. Stateless and thread-safe.
 */
final class PlacementCodec {
    private PlacementCodec() {}

    /**
     * Encodes a request.
     *
     * @param details whether the receiver knows the fields after the shared parts
     */
    static Bytes encode(PlacementRequest request, boolean details, long nowNanos) {
        MessagePackWriter writer = new MessagePackWriter();
        write(writer, request, details, nowNanos);
        return writer.toBytes();
    }

    static Either<MalformedContent, PlacementRequest> decodeRequest(
            InstanceId owner, Bytes content, long nowNanos) {
        return MessagePackReader.decode(content, reader -> read(reader, owner, nowNanos));
    }

    static void write(
            MessagePackWriter writer, PlacementRequest request, boolean details, long nowNanos) {
        writer.writeLong(request.key().number()).writeString(request.requestId());
        writer.writeString(request.service().value()).writeString(request.contentHash());
        writer.writeLong(toMicros(request.targetNanos() - nowNanos));
        writer.writeLong(toMicros(request.latestStartNanos() - nowNanos));
        writer.writeLong(toMicros(request.deadlineNanos() - nowNanos));
        writer.writeLong(request.promptTokens()).writeLong(request.outputTokens());
        writer.writeLong(request.targetGapMillis()).writeLong(request.priority());
        writer.writeList(
                List.copyOf(request.excluded()),
                (target, upstream) -> target.writeString(upstream.value()));
        writer.writeBoolean(request.retry());
        writer.writeString(request.domain().map(FailureDomain::value).orElse(""));
        writer.writeList(request.sharedParts(), MessagePackWriter::writeString);
        if (details) {
            writer.writeString(request.team()).writeString(request.route());
            writer.writeLong(request.outputLimitTokens()).writeLong(request.outputHintTokens());
        }
    }

    static PlacementRequest read(MessagePackReader reader, InstanceId owner, long nowNanos)
            throws IOException, MalformedContentException {
        PlacementKey key = new PlacementKey(owner, reader.readLong());
        PlacementRequest.Builder builder =
                PlacementRequest.builder(
                                key, reader.readString(), new ServiceName(reader.readString()))
                        .contentHash(reader.readString());
        builder.times(
                nowNanos + toNanos(reader.readLong()),
                nowNanos + toNanos(reader.readLong()),
                nowNanos + toNanos(reader.readLong()));
        builder.generation(reader.readLong(), reader.readLong(), reader.readLong());
        builder.priority(reader.readInt());
        List<UpstreamId> excluded = reader.readList(source -> new UpstreamId(source.readString()));
        builder.previousAttempts(Set.copyOf(excluded), reader.readBoolean());
        String domain = reader.readString();
        if (!domain.isEmpty()) {
            builder.domain(new FailureDomain(domain));
        }
        builder.sharedParts(reader.readList(MessagePackReader::readString));
        if (reader.hasMore()) {
            builder.origin(reader.readString(), reader.readString());
            builder.output(reader.readLong(), reader.readLong());
        }
        return builder.build();
    }

    /**
     * Encodes a decision; empty means that this instance is not the leader and doesn't schedule.
     */
    static Bytes encode(Optional<PlacementAction> action) {
        MessagePackWriter writer = new MessagePackWriter();
        if (action.isEmpty()) {
            return writer.writeString("not_leading").toBytes();
        }
        switch (action.get()) {
            case PlacementAction.Grant grant -> write(writer, grant.grant());
            case PlacementAction.Reject reject ->
                    writer.writeString("reject")
                            .writeString(reject.reason().name())
                            .writeLong(reject.retryAfterMillis());
        }
        return writer.toBytes();
    }

    private static void write(MessagePackWriter writer, PlacementGrant grant) {
        writer.writeString("grant")
                .writeString(grant.upstream().value())
                .writeString(grant.address());
        writer.writeLong(grant.expectedMillis());
        writer.writeList(
                grant.helpers(),
                (target, helper) ->
                        target.writeString(helper.upstream().value())
                                .writeString(helper.address())
                                .writeLong(helper.reservedTokens()));
    }

    static Either<MalformedContent, Optional<PlacementAction>> decodeAction(
            PlacementKey key, Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    String kind = reader.readString();
                    return switch (kind) {
                        case "not_leading" -> Optional.<PlacementAction>empty();
                        case "grant" ->
                                Optional.<PlacementAction>of(
                                        new PlacementAction.Grant(key, readGrant(reader)));
                        case "reject" ->
                                Optional.<PlacementAction>of(
                                        new PlacementAction.Reject(
                                                key,
                                                parseRefusal(reader.readString()),
                                                reader.readLong()));
                        default ->
                                throw new MalformedContentException(
                                        "unknown placement decision type: " + kind);
                    };
                });
    }

    private static PlacementGrant readGrant(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new PlacementGrant(
                new UpstreamId(reader.readString()),
                reader.readString(),
                reader.readLong(),
                reader.readList(
                        source ->
                                new PlacementHelper(
                                        new UpstreamId(source.readString()),
                                        source.readString(),
                                        source.readLong())));
    }

    private static PlacementRefusal parseRefusal(String name) throws MalformedContentException {
        try {
            return PlacementRefusal.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new MalformedContentException("unknown placement refusal: " + name);
        }
    }

    private static long toMicros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos);
    }

    private static long toNanos(long micros) {
        return TimeUnit.MICROSECONDS.toNanos(micros);
    }
}
