package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import io.vavr.control.Either;
import java.io.IOException;

/** What became of a placement, as an entry instance tells the scheduler. */
sealed interface PlacementEvent {
    /** The first event came. */
    record Started(PlacementKey key) implements PlacementEvent {}

    /** A pause was longer than the target. */
    record Delayed(PlacementKey key, long gapMillis) implements PlacementEvent {}

    /** The placement ended. */
    record Ended(PlacementKey key, PlacementOutcome outcome, String culprit)
            implements PlacementEvent {}

    /** The request needs no upstream any more. */
    record Withdrawn(PlacementKey key) implements PlacementEvent {}

    /** An upstream works on a request that another scheduler placed. */
    record Held(PlacementRequest request, UpstreamId upstream, boolean started)
            implements PlacementEvent {}

    /** Encodes an event. */
    static Bytes encode(PlacementEvent event, long nowNanos) {
        PackWriter writer = new PackWriter();
        switch (event) {
            case Started started -> writer.text("started").number(started.key().number());
            case Delayed delayed ->
                    writer.text("delayed")
                            .number(delayed.key().number())
                            .number(delayed.gapMillis());
            case Ended ended ->
                    writer.text("ended")
                            .number(ended.key().number())
                            .text(ended.outcome().name())
                            .text(ended.culprit());
            case Withdrawn withdrawn -> writer.text("withdrawn").number(withdrawn.key().number());
            case Held held -> {
                writer.text("held").text(held.upstream().value()).flag(held.started());
                PlacementCodec.write(writer, held.request(), nowNanos);
            }
        }
        return writer.finish();
    }

    /** Decodes an event of an instance. */
    static Either<MalformedContent, PlacementEvent> decode(
            InstanceId owner, Bytes content, long nowNanos) {
        return PackReader.decode(content, reader -> read(reader, owner, nowNanos));
    }

    private static PlacementEvent read(PackReader reader, InstanceId owner, long nowNanos)
            throws IOException, MalformedException {
        String kind = reader.text();
        return switch (kind) {
            case "started" -> new Started(new PlacementKey(owner, reader.number()));
            case "delayed" ->
                    new Delayed(new PlacementKey(owner, reader.number()), reader.number());
            case "ended" ->
                    new Ended(
                            new PlacementKey(owner, reader.number()),
                            outcome(reader.text()),
                            reader.text());
            case "withdrawn" -> new Withdrawn(new PlacementKey(owner, reader.number()));
            case "held" -> {
                UpstreamId upstream = new UpstreamId(reader.text());
                boolean started = reader.flag();
                yield new Held(PlacementCodec.read(reader, owner, nowNanos), upstream, started);
            }
            default -> throw new MalformedException("no event " + kind);
        };
    }

    private static PlacementOutcome outcome(String name) throws MalformedException {
        try {
            return PlacementOutcome.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new MalformedException("no outcome " + name);
        }
    }
}
