package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.state.ClaimKey;
import dev.kumquatweir.agreement.state.ClaimRecord;
import dev.kumquatweir.agreement.state.Claimant;
import dev.kumquatweir.agreement.state.ConfigurationChange;
import dev.kumquatweir.agreement.state.FencingEpoch;
import dev.kumquatweir.agreement.state.InstanceStart;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.agreement.state.StateImage;
import dev.kumquatweir.agreement.state.StateLimits;
import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Encodes and decodes snapshots of the state machine. Stateless and thread-safe. */
public final class StateCodec {
    private static final int FORMAT = 2;
    private static final int ACCEPTED = 1;
    private static final int CONFLICT = 2;
    private static final int TOO_LARGE = 3;
    private static final List<ClaimRecord.Phase> PHASES =
            List.of(
                    ClaimRecord.Phase.GRANTED,
                    ClaimRecord.Phase.FINISHED,
                    ClaimRecord.Phase.UNKNOWN,
                    ClaimRecord.Phase.ABANDONED);

    private StateCodec() {}

    /** Encodes a state. */
    public static Bytes encode(StateImage image) {
        MessagePackWriter writer = new MessagePackWriter();
        writer.writeLong(FORMAT);
        writeLimits(writer, image.limits());
        writer.writeLong(image.clockMillis()).writeLong(image.version());
        writer.writeList(
                image.documents().entrySet(),
                (target, entry) -> target.writeLong(entry.getKey()).writeBytes(entry.getValue()));
        writer.writeList(image.history(), StateCodec::writeChange);
        writer.writeList(image.results().entrySet(), StateCodec::writeResult);
        writer.writeList(
                image.instances(),
                (target, start) ->
                        target.writeString(start.instance().value())
                                .writeLong(start.nonce())
                                .writeLong(start.incarnation()));
        writer.writeList(
                image.epochs(),
                (target, epoch) ->
                        target.writeString(epoch.purpose())
                                .writeLong(epoch.epoch())
                                .writeString(epoch.holder().value()));
        writer.writeList(image.expiryCursor().stream().toList(), CommandCodec::writeKey);
        writer.writeList(image.claims().entrySet(), StateCodec::writeClaim);
        writeRouting(writer, image.routing());
        return writer.toBytes();
    }

    /** Decodes a state. */
    public static Either<MalformedContent, StateImage> decode(Bytes content) {
        return MessagePackReader.decode(content, StateCodec::read);
    }

    private static StateImage read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        int format = reader.readInt();
        if (format != FORMAT) {
            throw new MalformedContentException("unknown format " + format);
        }
        StateLimits limits = readLimits(reader);
        return new StateImage(
                limits,
                reader.readLong(),
                reader.readLong(),
                readMap(reader, MessagePackReader::readLong, MessagePackReader::readBytes),
                reader.readList(StateCodec::readChange),
                readMap(
                        reader,
                        source -> new CommandId(source.readString()),
                        StateCodec::readResult),
                reader.readList(
                        source ->
                                new InstanceStart(
                                        new InstanceId(source.readString()),
                                        source.readLong(),
                                        source.readLong())),
                reader.readList(
                        source ->
                                new FencingEpoch(
                                        source.readString(),
                                        source.readLong(),
                                        new InstanceId(source.readString()))),
                reader.readList(CommandCodec::readKey).stream().findFirst(),
                readMap(reader, CommandCodec::readKey, StateCodec::readClaim),
                readRouting(reader));
    }

    /** Writes a routing image; equal images give equal bytes. */
    public static void writeRouting(MessagePackWriter writer, RoutingImage routing) {
        writer.writeLong(routing.version())
                .writeBytes(routing.document())
                .writeLong(routing.changeCount());
        writer.writeList(
                routing.domainsOutOfService().stream().sorted().toList(),
                (target, domain) -> target.writeString(domain.value()));
    }

    /** Reads a routing image written by {@link #writeRouting}. */
    public static RoutingImage readRouting(MessagePackReader reader)
            throws IOException, MalformedContentException {
        long version = reader.readLong();
        Bytes document = reader.readBytes();
        long changes = reader.readLong();
        List<FailureDomain> domains =
                reader.readList(source -> new FailureDomain(source.readString()));
        return new RoutingImage(version, document, Set.copyOf(domains), changes);
    }

    private static <K, V> Map<K, V> readMap(
            MessagePackReader reader,
            MessagePackReader.Decoder<K> keyDecoder,
            MessagePackReader.Decoder<V> valueDecoder)
            throws IOException, MalformedContentException {
        int size = reader.readArrayHeader();
        Map<K, V> map = new LinkedHashMap<>();
        for (int count = 0; count < size; count++) {
            K key = keyDecoder.decode(reader);
            map.put(key, valueDecoder.decode(reader));
        }
        return map;
    }

    private static void writeLimits(MessagePackWriter writer, StateLimits limits) {
        writer.writeLong(limits.claims()).writeLong(limits.responseBytes());
        writer.writeLong(limits.retentionMillis()).writeLong(limits.claimsPerExpiry());
        writer.writeLong(limits.commandResults()).writeLong(limits.historyChanges());
        writer.writeLong(limits.historyDocuments()).writeLong(limits.historyBytes());
        writer.writeLong(limits.documentBytes()).writeLong(limits.instances());
        writer.writeLong(limits.epochPurposes());
    }

    private static StateLimits readLimits(MessagePackReader reader) throws IOException {
        return new StateLimits(
                reader.readInt(),
                reader.readLong(),
                reader.readLong(),
                reader.readInt(),
                reader.readInt(),
                reader.readInt(),
                reader.readInt(),
                reader.readLong(),
                reader.readInt(),
                reader.readInt(),
                reader.readInt());
    }

    private static void writeChange(MessagePackWriter writer, ConfigurationChange change) {
        writer.writeLong(change.version())
                .writeLong(change.baseVersion())
                .writeString(change.changedBy());
        writer.writeLong(change.changedAtMillis()).writeString(change.command().value());
    }

    private static ConfigurationChange readChange(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new ConfigurationChange(
                reader.readLong(),
                reader.readLong(),
                reader.readString(),
                reader.readLong(),
                new CommandId(reader.readString()));
    }

    private static void writeResult(
            MessagePackWriter writer, Map.Entry<CommandId, StateResult.ConfigurationResult> entry) {
        writer.writeString(entry.getKey().value());
        switch (entry.getValue()) {
            case StateResult.ConfigurationAccepted accepted ->
                    writer.writeLong(ACCEPTED).writeLong(accepted.version());
            case StateResult.ConfigurationConflict conflict -> {
                writer.writeLong(CONFLICT).writeLong(conflict.currentVersion());
                writer.writeString(conflict.changedBy()).writeLong(conflict.changedAtMillis());
            }
            case StateResult.DocumentTooLarge tooLarge ->
                    writer.writeLong(TOO_LARGE).writeLong(tooLarge.limitBytes());
        }
    }

    private static StateResult.ConfigurationResult readResult(MessagePackReader reader)
            throws IOException, MalformedContentException {
        int kind = reader.readInt();
        return switch (kind) {
            case ACCEPTED -> new StateResult.ConfigurationAccepted(reader.readLong());
            case CONFLICT ->
                    new StateResult.ConfigurationConflict(
                            reader.readLong(), reader.readString(), reader.readLong());
            case TOO_LARGE -> new StateResult.DocumentTooLarge(reader.readLong());
            default -> throw new MalformedContentException("unknown result " + kind);
        };
    }

    private static void writeClaim(
            MessagePackWriter writer, Map.Entry<ClaimKey, ClaimRecord> entry) {
        ClaimRecord claim = entry.getValue();
        CommandCodec.writeKey(writer, entry.getKey());
        CommandCodec.writeClaimant(writer, claim.claimant());
        writer.writeString(claim.requestHash()).writeLong(PHASES.indexOf(claim.phase()));
        writer.writeLong(claim.deadlineMillis()).writeLong(claim.changedAtMillis());
        Optional<RecordedResponse> response = claim.recordedResponse();
        writer.writeBoolean(response.isPresent());
        response.ifPresent(value -> CommandCodec.writeResponse(writer, value));
    }

    private static ClaimRecord readClaim(MessagePackReader reader)
            throws IOException, MalformedContentException {
        Claimant claimant = CommandCodec.readClaimant(reader);
        String hash = reader.readString();
        int phase = reader.readInt();
        if (phase < 0 || phase >= PHASES.size()) {
            throw new MalformedContentException("unknown claim phase " + phase);
        }
        long deadline = reader.readLong();
        long changedAt = reader.readLong();
        RecordedResponse response = reader.readBoolean() ? CommandCodec.readResponse(reader) : null;
        if ((response != null) != (PHASES.get(phase) == ClaimRecord.Phase.FINISHED)) {
            throw new MalformedContentException(
                    "a claim has a response if and only if it is finished");
        }
        return new ClaimRecord(claimant, hash, PHASES.get(phase), deadline, changedAt, response);
    }
}
