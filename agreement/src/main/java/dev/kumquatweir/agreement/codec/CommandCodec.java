package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.state.ClaimKey;
import dev.kumquatweir.agreement.state.Claimant;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.io.IOException;

/** Encodes and decodes the commands in log entries. Stateless and thread-safe. */
public final class CommandCodec {
    private static final int APPLY_CONFIGURATION = 1;
    private static final int START_INSTANCE = 2;
    private static final int CLAIM = 3;
    private static final int RECORD_OUTCOME = 4;
    private static final int EXPIRE = 5;
    private static final int ACQUIRE_EPOCH = 6;
    private static final int PUT_ROUTING = 7;
    private static final int SET_DOMAIN = 8;
    private static final int SET_DOMAIN_FROM_BASE = 9;
    private static final int FINISHED = 1;
    private static final int UNKNOWN = 2;
    private static final int NOT_EXECUTED = 3;

    private CommandCodec() {}

    /** Encodes a command. */
    public static Bytes encode(StateCommand command) {
        MessagePackWriter writer = new MessagePackWriter();
        switch (command) {
            case StateCommand.ApplyConfiguration change -> {
                writeHeader(writer, APPLY_CONFIGURATION, command)
                        .writeString(change.command().value());
                writer.writeString(change.changedBy()).writeLong(change.baseVersion());
                writer.writeBytes(change.document());
            }
            case StateCommand.StartInstance start ->
                    writeHeader(writer, START_INSTANCE, command)
                            .writeString(start.instance().value())
                            .writeLong(start.nonce());
            case StateCommand.Claim claim -> {
                writeClaimant(writeHeader(writer, CLAIM, command), claim.claimant());
                writeKey(writer, claim.key());
                writer.writeString(claim.requestHash()).writeLong(claim.timeLimitMillis());
            }
            case StateCommand.RecordOutcome outcome -> {
                writeClaimant(writeHeader(writer, RECORD_OUTCOME, command), outcome.claimant());
                writeKey(writer, outcome.key());
                writeOutcome(writer, outcome.outcome());
            }
            case StateCommand.Expire _ -> writeHeader(writer, EXPIRE, command);
            case StateCommand.AcquireEpoch take ->
                    writeHeader(writer, ACQUIRE_EPOCH, command)
                            .writeString(take.purpose())
                            .writeString(take.holder().value());
            case StateCommand.PutRouting put ->
                    writeHeader(writer, PUT_ROUTING, command)
                            .writeLong(put.version())
                            .writeBytes(put.document());
            case StateCommand.SetDomain set ->
                    writeHeader(writer, SET_DOMAIN_FROM_BASE, command)
                            .writeString(set.domain().value())
                            .writeBoolean(set.outOfService())
                            .writeLong(set.baseChangeCount());
        }
        return writer.toBytes();
    }

    /** Decodes a command. */
    public static Either<MalformedContent, StateCommand> decode(Bytes content) {
        return MessagePackReader.decode(content, CommandCodec::read);
    }

    private static MessagePackWriter writeHeader(
            MessagePackWriter writer, int kind, StateCommand command) {
        return writer.writeLong(kind).writeLong(command.nowMillis());
    }

    private static StateCommand read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        int kind = reader.readInt();
        long now = reader.readLong();
        return switch (kind) {
            case APPLY_CONFIGURATION ->
                    new StateCommand.ApplyConfiguration(
                            now,
                            new CommandId(reader.readString()),
                            reader.readString(),
                            reader.readLong(),
                            reader.readBytes());
            case START_INSTANCE ->
                    new StateCommand.StartInstance(
                            now, new InstanceId(reader.readString()), reader.readLong());
            case CLAIM ->
                    new StateCommand.Claim(
                            now,
                            readClaimant(reader),
                            readKey(reader),
                            reader.readString(),
                            reader.readLong());
            case RECORD_OUTCOME ->
                    new StateCommand.RecordOutcome(
                            now, readClaimant(reader), readKey(reader), readOutcome(reader));
            case EXPIRE -> new StateCommand.Expire(now);
            case ACQUIRE_EPOCH ->
                    new StateCommand.AcquireEpoch(
                            now, reader.readString(), new InstanceId(reader.readString()));
            case PUT_ROUTING ->
                    new StateCommand.PutRouting(now, reader.readLong(), reader.readBytes());
            case SET_DOMAIN ->
                    new StateCommand.SetDomain(
                            now,
                            new FailureDomain(reader.readString()),
                            reader.readBoolean(),
                            StateCommand.SetDomain.ANY_BASE);
            case SET_DOMAIN_FROM_BASE ->
                    new StateCommand.SetDomain(
                            now,
                            new FailureDomain(reader.readString()),
                            reader.readBoolean(),
                            reader.readLong());
            default -> throw new MalformedContentException("unknown command " + kind);
        };
    }

    static void writeClaimant(MessagePackWriter writer, Claimant claimant) {
        writer.writeString(claimant.requestId().value()).writeString(claimant.instance().value());
        writer.writeLong(claimant.incarnation());
    }

    static Claimant readClaimant(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new Claimant(
                new RequestId(reader.readString()),
                new InstanceId(reader.readString()),
                reader.readLong());
    }

    static void writeKey(MessagePackWriter writer, ClaimKey key) {
        writer.writeString(key.team().value()).writeString(key.key().value());
    }

    static ClaimKey readKey(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new ClaimKey(
                new TeamName(reader.readString()), new IdempotencyKey(reader.readString()));
    }

    static void writeResponse(MessagePackWriter writer, RecordedResponse response) {
        writer.writeLong(response.status()).writeString(response.contentType());
        writer.writeBytes(response.body()).writeBoolean(response.complete());
    }

    static RecordedResponse readResponse(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new RecordedResponse(
                reader.readInt(), reader.readString(), reader.readBytes(), reader.readBoolean());
    }

    private static void writeOutcome(MessagePackWriter writer, ClaimOutcome outcome) {
        switch (outcome) {
            case ClaimOutcome.Finished(RecordedResponse response) ->
                    writeResponse(writer.writeLong(FINISHED), response);
            case ClaimOutcome.Unknown() -> writer.writeLong(UNKNOWN);
            case ClaimOutcome.NotExecuted() -> writer.writeLong(NOT_EXECUTED);
        }
    }

    private static ClaimOutcome readOutcome(MessagePackReader reader)
            throws IOException, MalformedContentException {
        int kind = reader.readInt();
        return switch (kind) {
            case FINISHED -> new ClaimOutcome.Finished(readResponse(reader));
            case UNKNOWN -> new ClaimOutcome.Unknown();
            case NOT_EXECUTED -> new ClaimOutcome.NotExecuted();
            default -> throw new MalformedContentException("unknown outcome " + kind);
        };
    }
}
