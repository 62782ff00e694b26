package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.state.ClaimKey;
import dev.kumquatweir.agreement.state.Claimant;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.control.ClaimOutcome;
import dev.kumquatweir.core.control.RecordedAnswer;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.TeamName;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import io.vavr.control.Either;
import java.io.IOException;

/** Encodes the commands in log entries. Thread-safe. */
public final class CommandCodec {
    private static final int APPLY_CONFIGURATION = 1;
    private static final int START_INSTANCE = 2;
    private static final int CLAIM = 3;
    private static final int RECORD_OUTCOME = 4;
    private static final int EXPIRE = 5;
    private static final int TAKE_EPOCH = 6;
    private static final int PUT_ROUTING = 7;
    private static final int SET_DOMAIN = 8;
    private static final int FINISHED = 1;
    private static final int UNKNOWN = 2;
    private static final int NOT_RUN = 3;

    private CommandCodec() {}

    /** Encodes a command. */
    public static Bytes encode(StateCommand command) {
        PackWriter writer = new PackWriter();
        switch (command) {
            case StateCommand.ApplyConfiguration change -> {
                head(writer, APPLY_CONFIGURATION, command).text(change.command().value());
                writer.text(change.changedBy()).number(change.baseVersion());
                writer.bytes(change.document());
            }
            case StateCommand.StartInstance start ->
                    head(writer, START_INSTANCE, command)
                            .text(start.instance().value())
                            .number(start.nonce());
            case StateCommand.Claim claim -> {
                writeClaimant(head(writer, CLAIM, command), claim.claimant());
                writeKey(writer, claim.key());
                writer.text(claim.requestHash()).number(claim.timeLimitMillis());
            }
            case StateCommand.RecordOutcome outcome -> {
                writeClaimant(head(writer, RECORD_OUTCOME, command), outcome.claimant());
                writeKey(writer, outcome.key());
                writeOutcome(writer, outcome.outcome());
            }
            case StateCommand.Expire _ -> head(writer, EXPIRE, command);
            case StateCommand.TakeEpoch take ->
                    head(writer, TAKE_EPOCH, command)
                            .text(take.purpose())
                            .text(take.holder().value());
            case StateCommand.PutRouting put ->
                    head(writer, PUT_ROUTING, command).number(put.version()).bytes(put.document());
            case StateCommand.SetDomain set ->
                    head(writer, SET_DOMAIN, command).text(set.domain().value()).flag(set.out());
        }
        return writer.finish();
    }

    /** Decodes a command. */
    public static Either<MalformedContent, StateCommand> decode(Bytes content) {
        return PackReader.decode(content, CommandCodec::read);
    }

    private static PackWriter head(PackWriter writer, int kind, StateCommand command) {
        return writer.number(kind).number(command.nowMillis());
    }

    private static StateCommand read(PackReader reader) throws IOException, MalformedException {
        int kind = reader.smallNumber();
        long now = reader.number();
        return switch (kind) {
            case APPLY_CONFIGURATION ->
                    new StateCommand.ApplyConfiguration(
                            now,
                            new CommandId(reader.text()),
                            reader.text(),
                            reader.number(),
                            reader.bytes());
            case START_INSTANCE ->
                    new StateCommand.StartInstance(
                            now, new InstanceId(reader.text()), reader.number());
            case CLAIM ->
                    new StateCommand.Claim(
                            now,
                            readClaimant(reader),
                            readKey(reader),
                            reader.text(),
                            reader.number());
            case RECORD_OUTCOME ->
                    new StateCommand.RecordOutcome(
                            now, readClaimant(reader), readKey(reader), readOutcome(reader));
            case EXPIRE -> new StateCommand.Expire(now);
            case TAKE_EPOCH ->
                    new StateCommand.TakeEpoch(now, reader.text(), new InstanceId(reader.text()));
            case PUT_ROUTING -> new StateCommand.PutRouting(now, reader.number(), reader.bytes());
            case SET_DOMAIN ->
                    new StateCommand.SetDomain(
                            now, new FailureDomain(reader.text()), reader.flag());
            default -> throw new MalformedException("unknown command " + kind);
        };
    }

    static void writeClaimant(PackWriter writer, Claimant claimant) {
        writer.text(claimant.request().value()).text(claimant.instance().value());
        writer.number(claimant.incarnation());
    }

    static Claimant readClaimant(PackReader reader) throws IOException, MalformedException {
        return new Claimant(
                new RequestId(reader.text()), new InstanceId(reader.text()), reader.number());
    }

    static void writeKey(PackWriter writer, ClaimKey key) {
        writer.text(key.team().value()).text(key.key().value());
    }

    static ClaimKey readKey(PackReader reader) throws IOException, MalformedException {
        return new ClaimKey(new TeamName(reader.text()), new IdempotencyKey(reader.text()));
    }

    static void writeAnswer(PackWriter writer, RecordedAnswer answer) {
        writer.number(answer.status()).text(answer.contentType());
        writer.bytes(answer.body()).flag(answer.complete());
    }

    static RecordedAnswer readAnswer(PackReader reader) throws IOException, MalformedException {
        return new RecordedAnswer(
                reader.smallNumber(), reader.text(), reader.bytes(), reader.flag());
    }

    private static void writeOutcome(PackWriter writer, ClaimOutcome outcome) {
        switch (outcome) {
            case ClaimOutcome.Finished(RecordedAnswer answer) ->
                    writeAnswer(writer.number(FINISHED), answer);
            case ClaimOutcome.Unknown() -> writer.number(UNKNOWN);
            case ClaimOutcome.NotRun() -> writer.number(NOT_RUN);
        }
    }

    private static ClaimOutcome readOutcome(PackReader reader)
            throws IOException, MalformedException {
        int kind = reader.smallNumber();
        return switch (kind) {
            case FINISHED -> new ClaimOutcome.Finished(readAnswer(reader));
            case UNKNOWN -> new ClaimOutcome.Unknown();
            case NOT_RUN -> new ClaimOutcome.NotRun();
            default -> throw new MalformedException("unknown outcome " + kind);
        };
    }
}
