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
import dev.kumquatweir.core.control.RecordedAnswer;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Encodes the state machine's snapshots. Thread-safe. */
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
        PackWriter writer = new PackWriter();
        writer.number(FORMAT);
        writeLimits(writer, image.limits());
        writer.number(image.clockMillis()).number(image.version());
        writer.list(
                image.documents().entrySet(),
                (target, entry) -> target.number(entry.getKey()).bytes(entry.getValue()));
        writer.list(image.history(), StateCodec::writeChange);
        writer.list(image.results().entrySet(), StateCodec::writeResult);
        writer.list(
                image.instances(),
                (target, start) ->
                        target.text(start.instance().value())
                                .number(start.nonce())
                                .number(start.incarnation()));
        writer.list(
                image.epochs(),
                (target, epoch) ->
                        target.text(epoch.purpose())
                                .number(epoch.epoch())
                                .text(epoch.holder().value()));
        writer.list(image.expiryCursor().stream().toList(), CommandCodec::writeKey);
        writer.list(image.claims().entrySet(), StateCodec::writeClaim);
        writeRouting(writer, image.routing());
        return writer.finish();
    }

    /** Decodes a state. */
    public static Either<MalformedContent, StateImage> decode(Bytes content) {
        return PackReader.decode(content, StateCodec::read);
    }

    private static StateImage read(PackReader reader) throws IOException, MalformedException {
        int format = reader.smallNumber();
        if (format != FORMAT) {
            throw new MalformedException("unknown format " + format);
        }
        StateLimits limits = readLimits(reader);
        return new StateImage(
                limits,
                reader.number(),
                reader.number(),
                readMap(reader, PackReader::number, PackReader::bytes),
                reader.list(StateCodec::readChange),
                readMap(reader, source -> new CommandId(source.text()), StateCodec::readResult),
                reader.list(
                        source ->
                                new InstanceStart(
                                        new InstanceId(source.text()),
                                        source.number(),
                                        source.number())),
                reader.list(
                        source ->
                                new FencingEpoch(
                                        source.text(),
                                        source.number(),
                                        new InstanceId(source.text()))),
                reader.list(CommandCodec::readKey).stream().findFirst(),
                readMap(reader, CommandCodec::readKey, StateCodec::readClaim),
                readRouting(reader));
    }

    /** Writes what is in force for routing; equal images give equal bytes. */
    public static void writeRouting(PackWriter writer, RoutingImage routing) {
        writer.number(routing.version()).bytes(routing.document()).number(routing.changes());
        writer.list(
                routing.domainsOut().stream().sorted().toList(),
                (target, domain) -> target.text(domain.value()));
    }

    /** Reads what {@link #writeRouting} wrote. */
    public static RoutingImage readRouting(PackReader reader)
            throws IOException, MalformedException {
        long version = reader.number();
        Bytes document = reader.bytes();
        long changes = reader.number();
        List<FailureDomain> domains = reader.list(source -> new FailureDomain(source.text()));
        return new RoutingImage(version, document, Set.copyOf(domains), changes);
    }

    private static <K, V> Map<K, V> readMap(
            PackReader reader, PackReader.Decoder<K> keyDecoder, PackReader.Decoder<V> valueDecoder)
            throws IOException, MalformedException {
        int size = reader.arraySize();
        Map<K, V> map = new LinkedHashMap<>();
        for (int count = 0; count < size; count++) {
            K key = keyDecoder.decode(reader);
            map.put(key, valueDecoder.decode(reader));
        }
        return map;
    }

    private static void writeLimits(PackWriter writer, StateLimits limits) {
        writer.number(limits.claims()).number(limits.answerBytes());
        writer.number(limits.retentionMillis()).number(limits.expiryStep());
        writer.number(limits.commandResults()).number(limits.historyChanges());
        writer.number(limits.historyDocuments()).number(limits.historyBytes());
        writer.number(limits.documentBytes()).number(limits.instances());
        writer.number(limits.epochPurposes());
    }

    private static StateLimits readLimits(PackReader reader) throws IOException {
        return new StateLimits(
                reader.smallNumber(),
                reader.number(),
                reader.number(),
                reader.smallNumber(),
                reader.smallNumber(),
                reader.smallNumber(),
                reader.smallNumber(),
                reader.number(),
                reader.smallNumber(),
                reader.smallNumber(),
                reader.smallNumber());
    }

    private static void writeChange(PackWriter writer, ConfigurationChange change) {
        writer.number(change.version()).number(change.baseVersion()).text(change.changedBy());
        writer.number(change.changedAtMillis()).text(change.command().value());
    }

    private static ConfigurationChange readChange(PackReader reader)
            throws IOException, MalformedException {
        return new ConfigurationChange(
                reader.number(),
                reader.number(),
                reader.text(),
                reader.number(),
                new CommandId(reader.text()));
    }

    private static void writeResult(
            PackWriter writer, Map.Entry<CommandId, StateResult.OfConfiguration> entry) {
        writer.text(entry.getKey().value());
        switch (entry.getValue()) {
            case StateResult.ConfigurationAccepted accepted ->
                    writer.number(ACCEPTED).number(accepted.version());
            case StateResult.ConfigurationConflict conflict -> {
                writer.number(CONFLICT).number(conflict.currentVersion());
                writer.text(conflict.changedBy()).number(conflict.changedAtMillis());
            }
            case StateResult.DocumentTooLarge tooLarge ->
                    writer.number(TOO_LARGE).number(tooLarge.limitBytes());
        }
    }

    private static StateResult.OfConfiguration readResult(PackReader reader)
            throws IOException, MalformedException {
        int kind = reader.smallNumber();
        return switch (kind) {
            case ACCEPTED -> new StateResult.ConfigurationAccepted(reader.number());
            case CONFLICT ->
                    new StateResult.ConfigurationConflict(
                            reader.number(), reader.text(), reader.number());
            case TOO_LARGE -> new StateResult.DocumentTooLarge(reader.number());
            default -> throw new MalformedException("unknown result " + kind);
        };
    }

    private static void writeClaim(PackWriter writer, Map.Entry<ClaimKey, ClaimRecord> entry) {
        ClaimRecord claim = entry.getValue();
        CommandCodec.writeKey(writer, entry.getKey());
        CommandCodec.writeClaimant(writer, claim.claimant());
        writer.text(claim.requestHash()).number(PHASES.indexOf(claim.phase()));
        writer.number(claim.deadlineMillis()).number(claim.changedAtMillis());
        Optional<RecordedAnswer> answer = claim.recordedAnswer();
        writer.flag(answer.isPresent());
        answer.ifPresent(value -> CommandCodec.writeAnswer(writer, value));
    }

    private static ClaimRecord readClaim(PackReader reader) throws IOException, MalformedException {
        Claimant claimant = CommandCodec.readClaimant(reader);
        String hash = reader.text();
        int phase = reader.smallNumber();
        if (phase < 0 || phase >= PHASES.size()) {
            throw new MalformedException("unknown claim phase " + phase);
        }
        long deadline = reader.number();
        long changedAt = reader.number();
        RecordedAnswer answer = reader.flag() ? CommandCodec.readAnswer(reader) : null;
        if ((answer != null) != (PHASES.get(phase) == ClaimRecord.Phase.FINISHED)) {
            throw new MalformedException("a claim has an answer if and only if it is finished");
        }
        return new ClaimRecord(claimant, hash, PHASES.get(phase), deadline, changedAt, answer);
    }
}
