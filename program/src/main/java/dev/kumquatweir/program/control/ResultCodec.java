package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.state.StateResult;
import dev.kumquatweir.core.control.RecordedAnswer;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import java.io.IOException;
import java.util.Arrays;

/** Form of the results of commands between instances. Thread-safe: holds no state. */
final class ResultCodec {
    private ResultCodec() {}

    static void write(PackWriter writer, StateResult result) {
        switch (result) {
            case StateResult.Nothing _ -> writer.text("nothing");
            case StateResult.Malformed malformed ->
                    writer.text("malformed").text(malformed.problem());
            case StateResult.ConfigurationAccepted accepted ->
                    writer.text("accepted").number(accepted.version());
            case StateResult.ConfigurationConflict conflict ->
                    writer.text("conflict")
                            .number(conflict.currentVersion())
                            .text(conflict.changedBy())
                            .number(conflict.changedAtMillis());
            case StateResult.DocumentTooLarge large ->
                    writer.text("too_large").number(large.limitBytes());
            case StateResult.InstanceStarted started ->
                    writer.text("started").number(started.incarnation());
            case StateResult.ClaimGranted granted ->
                    writer.text("granted").number(granted.deadlineMillis());
            case StateResult.ClaimFinished finished -> {
                writer.text("finished");
                writeAnswer(writer, finished.answer());
            }
            case StateResult.ClaimRunning _ -> writer.text("running");
            case StateResult.ClaimUnknown _ -> writer.text("unknown");
            case StateResult.ClaimKeyReused _ -> writer.text("key_reused");
            case StateResult.ClaimRefused refused ->
                    writer.text("refused").text(refused.reason().name());
            case StateResult.OutcomeRecorded _ -> writer.text("recorded");
            case StateResult.OutcomeRefused _ -> writer.text("outcome_refused");
            case StateResult.Expired expired ->
                    writer.text("expired").number(expired.removed()).flag(expired.wrapped());
            case StateResult.EpochTaken taken -> writer.text("epoch").number(taken.epoch());
            case StateResult.RoutingHeld held ->
                    writer.text("routing_held").number(held.heldVersion());
            case StateResult.DomainSet _ -> writer.text("domain_set");
        }
    }

    static StateResult read(PackReader reader) throws IOException, MalformedException {
        String kind = reader.text();
        return switch (kind) {
            case "nothing" -> new StateResult.Nothing();
            case "malformed" -> new StateResult.Malformed(reader.text());
            case "accepted" -> new StateResult.ConfigurationAccepted(reader.number());
            case "conflict" ->
                    new StateResult.ConfigurationConflict(
                            reader.number(), reader.text(), reader.number());
            case "too_large" -> new StateResult.DocumentTooLarge(reader.number());
            case "started" -> new StateResult.InstanceStarted(reader.number());
            case "granted" -> new StateResult.ClaimGranted(reader.number());
            case "finished" -> new StateResult.ClaimFinished(readAnswer(reader));
            case "running" -> new StateResult.ClaimRunning();
            case "unknown" -> new StateResult.ClaimUnknown();
            case "key_reused" -> new StateResult.ClaimKeyReused();
            case "refused" -> new StateResult.ClaimRefused(reason(reader.text()));
            case "recorded" -> new StateResult.OutcomeRecorded();
            case "outcome_refused" -> new StateResult.OutcomeRefused();
            case "expired" -> new StateResult.Expired(reader.smallNumber(), reader.flag());
            case "epoch" -> new StateResult.EpochTaken(reader.number());
            case "routing_held" -> new StateResult.RoutingHeld(reader.number());
            case "domain_set" -> new StateResult.DomainSet();
            default -> throw new MalformedException("no result " + kind);
        };
    }

    private static void writeAnswer(PackWriter writer, RecordedAnswer answer) {
        writer.number(answer.status())
                .text(answer.contentType())
                .bytes(answer.body())
                .flag(answer.complete());
    }

    private static RecordedAnswer readAnswer(PackReader reader)
            throws IOException, MalformedException {
        return new RecordedAnswer(
                reader.smallNumber(), reader.text(), reader.bytes(), reader.flag());
    }

    private static StateResult.Reason reason(String name) throws MalformedException {
        return Arrays.stream(StateResult.Reason.values())
                .filter(reason -> reason.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new MalformedException("no reason " + name));
    }
}
