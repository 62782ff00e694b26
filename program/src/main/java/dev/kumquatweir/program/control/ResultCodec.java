package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import java.io.IOException;
import java.util.Arrays;

/** Wire format of command results between instances. Stateless and thread-safe. */
final class ResultCodec {
    private ResultCodec() {}

    static void write(MessagePackWriter writer, StateResult result) {
        switch (result) {
            case StateResult.NoCommand _ -> writer.writeString("nothing");
            case StateResult.Malformed malformed ->
                    writer.writeString("malformed").writeString(malformed.problem());
            case StateResult.ConfigurationAccepted accepted ->
                    writer.writeString("accepted").writeLong(accepted.version());
            case StateResult.ConfigurationConflict conflict ->
                    writer.writeString("conflict")
                            .writeLong(conflict.currentVersion())
                            .writeString(conflict.changedBy())
                            .writeLong(conflict.changedAtMillis());
            case StateResult.DocumentTooLarge large ->
                    writer.writeString("too_large").writeLong(large.limitBytes());
            case StateResult.InstanceStarted started ->
                    writer.writeString("started").writeLong(started.incarnation());
            case StateResult.ClaimGranted granted ->
                    writer.writeString("granted").writeLong(granted.deadlineMillis());
            case StateResult.ClaimFinished finished -> {
                writer.writeString("finished");
                writeResponse(writer, finished.response());
            }
            case StateResult.ClaimRunning _ -> writer.writeString("running");
            case StateResult.ClaimUnknown _ -> writer.writeString("unknown");
            case StateResult.ClaimKeyReused _ -> writer.writeString("key_reused");
            case StateResult.ClaimRefused refused ->
                    writer.writeString("refused").writeString(refused.reason().name());
            case StateResult.OutcomeRecorded _ -> writer.writeString("recorded");
            case StateResult.OutcomeRefused _ -> writer.writeString("outcome_refused");
            case StateResult.Expired expired ->
                    writer.writeString("expired")
                            .writeLong(expired.removed())
                            .writeBoolean(expired.wrapped());
            case StateResult.EpochAcquired acquired ->
                    writer.writeString("epoch").writeLong(acquired.epoch());
            case StateResult.RoutingStored stored ->
                    writer.writeString("routing_held").writeLong(stored.storedVersion());
            case StateResult.DomainUpdated _ -> writer.writeString("domain_set");
            case StateResult.DomainOvertaken overtaken ->
                    writer.writeString("domain_overtaken").writeLong(overtaken.changeCount());
        }
    }

    static StateResult read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        String kind = reader.readString();
        return switch (kind) {
            case "nothing" -> new StateResult.NoCommand();
            case "malformed" -> new StateResult.Malformed(reader.readString());
            case "accepted" -> new StateResult.ConfigurationAccepted(reader.readLong());
            case "conflict" ->
                    new StateResult.ConfigurationConflict(
                            reader.readLong(), reader.readString(), reader.readLong());
            case "too_large" -> new StateResult.DocumentTooLarge(reader.readLong());
            case "started" -> new StateResult.InstanceStarted(reader.readLong());
            case "granted" -> new StateResult.ClaimGranted(reader.readLong());
            case "finished" -> new StateResult.ClaimFinished(readResponse(reader));
            case "running" -> new StateResult.ClaimRunning();
            case "unknown" -> new StateResult.ClaimUnknown();
            case "key_reused" -> new StateResult.ClaimKeyReused();
            case "refused" -> new StateResult.ClaimRefused(parseReason(reader.readString()));
            case "recorded" -> new StateResult.OutcomeRecorded();
            case "outcome_refused" -> new StateResult.OutcomeRefused();
            case "expired" -> new StateResult.Expired(reader.readInt(), reader.readBoolean());
            case "epoch" -> new StateResult.EpochAcquired(reader.readLong());
            case "routing_held" -> new StateResult.RoutingStored(reader.readLong());
            case "domain_set" -> new StateResult.DomainUpdated();
            case "domain_overtaken" -> new StateResult.DomainOvertaken(reader.readLong());
            default -> throw new MalformedContentException("unknown command result type: " + kind);
        };
    }

    private static void writeResponse(MessagePackWriter writer, RecordedResponse response) {
        writer.writeLong(response.status())
                .writeString(response.contentType())
                .writeBytes(response.body())
                .writeBoolean(response.complete());
    }

    private static RecordedResponse readResponse(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new RecordedResponse(
                reader.readInt(), reader.readString(), reader.readBytes(), reader.readBoolean());
    }

    private static StateResult.ClaimRefusalReason parseReason(String name)
            throws MalformedContentException {
        return Arrays.stream(StateResult.ClaimRefusalReason.values())
                .filter(reason -> reason.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () ->
                                new MalformedContentException(
                                        "unknown claim refusal reason: " + name));
    }
}
