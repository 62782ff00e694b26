package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.policy.placement.PlacementHelper;
import dev.kumquatweir.policy.placement.PlacementKey;
import dev.kumquatweir.policy.placement.PlacementOutcome;
import dev.kumquatweir.policy.placement.PlacementRequest;
import dev.kumquatweir.policy.placement.UpstreamLimit;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Progress of a placement that an entry instance reports to the scheduler. */
sealed interface PlacementEvent {
    /** Limits are sent as a whole number of requests in this time. */
    double LIMIT_UNIT_SECONDS = 1e6;

    /** The scheduler knows the addresses of engines. */
    String NO_ADDRESS = "";

    /** The upstream sent its first event. */
    record Started(PlacementKey key) implements PlacementEvent {}

    /** The gap between two events exceeded the target. */
    record Delayed(PlacementKey key, long gapMillis) implements PlacementEvent {}

    /** The upstream sends nothing for longer than its limit, and keeps the request. */
    record Silent(PlacementKey key) implements PlacementEvent {}

    /** The placement ended. */
    record Ended(PlacementKey key, PlacementOutcome outcome, String culprit)
            implements PlacementEvent {}

    /** The request no longer needs an upstream. */
    record Withdrawn(PlacementKey key) implements PlacementEvent {}

    /** An upstream is processing a request that was placed by another scheduler. */
    record Running(
            PlacementRequest request, UpstreamId upstream, boolean started, long grantedNanos)
            implements PlacementEvent {}

    /** Engines that help with a request that another scheduler has placed. Follows its report. */
    record Helped(PlacementKey key, List<PlacementHelper> helpers) implements PlacementEvent {
        /** Copies the list. */
        public Helped {
            helpers = List.copyOf(helpers);
        }
    }

    /** The number of events that the upstream sent. Precedes the end of the placement. */
    record Measured(PlacementKey key, long events) implements PlacementEvent {}

    /** A response names a limit; its time is that at which the request was sent. */
    record Limited(UpstreamLimit limit) implements PlacementEvent {}

    /**
     * Encodes an event.
     *
     * @param details whether the receiver knows the details of placement requests
     */
    static Bytes encode(PlacementEvent event, boolean details, long nowNanos) {
        MessagePackWriter writer = new MessagePackWriter();
        switch (event) {
            case Started started -> writer.writeString("started").writeLong(started.key().number());
            case Delayed delayed ->
                    writer.writeString("delayed")
                            .writeLong(delayed.key().number())
                            .writeLong(delayed.gapMillis());
            case Silent silent -> writer.writeString("silent").writeLong(silent.key().number());
            case Ended ended ->
                    writer.writeString("ended")
                            .writeLong(ended.key().number())
                            .writeString(ended.outcome().name())
                            .writeString(ended.culprit());
            case Withdrawn withdrawn ->
                    writer.writeString("withdrawn").writeLong(withdrawn.key().number());
            case Running running -> {
                writer.writeString("held")
                        .writeString(running.upstream().value())
                        .writeBoolean(running.started())
                        .writeLong(
                                TimeUnit.NANOSECONDS.toMicros(nowNanos - running.grantedNanos()));
                PlacementCodec.write(writer, running.request(), details, nowNanos);
            }
            case Helped helped ->
                    writer.writeString("helped")
                            .writeLong(helped.key().number())
                            .writeList(
                                    helped.helpers(),
                                    (content, helper) ->
                                            content.writeString(helper.upstream().value())
                                                    .writeLong(helper.reservedTokens()));
            case Measured measured ->
                    writer.writeString("measured")
                            .writeLong(measured.key().number())
                            .writeLong(measured.events());
            case Limited limited -> {
                UpstreamLimit limit = limited.limit();
                long perUnit = Math.round(limit.perSecond() * LIMIT_UNIT_SECONDS);
                writer.writeString("limited")
                        .writeString(limit.upstream().value())
                        .writeLong(Math.max(1, perUnit))
                        .writeLong(TimeUnit.NANOSECONDS.toMicros(nowNanos - limit.heardNanos()));
            }
        }
        return writer.toBytes();
    }

    /** Decodes an event sent by an instance. */
    static Either<MalformedContent, PlacementEvent> decode(
            InstanceId owner, Bytes content, long nowNanos) {
        return MessagePackReader.decode(content, reader -> read(reader, owner, nowNanos));
    }

    private static PlacementEvent read(MessagePackReader reader, InstanceId owner, long nowNanos)
            throws IOException, MalformedContentException {
        String kind = reader.readString();
        return switch (kind) {
            case "started" -> new Started(new PlacementKey(owner, reader.readLong()));
            case "delayed" ->
                    new Delayed(new PlacementKey(owner, reader.readLong()), reader.readLong());
            case "silent" -> new Silent(new PlacementKey(owner, reader.readLong()));
            case "ended" ->
                    new Ended(
                            new PlacementKey(owner, reader.readLong()),
                            outcome(reader.readString()),
                            reader.readString());
            case "withdrawn" -> new Withdrawn(new PlacementKey(owner, reader.readLong()));
            case "held" -> {
                UpstreamId upstream = new UpstreamId(reader.readString());
                boolean started = reader.readBoolean();
                long grantedNanos = nowNanos - TimeUnit.MICROSECONDS.toNanos(reader.readLong());
                PlacementRequest request = PlacementCodec.read(reader, owner, nowNanos);
                yield new Running(request, upstream, started, grantedNanos);
            }
            case "helped" ->
                    new Helped(
                            new PlacementKey(owner, reader.readLong()),
                            reader.readList(
                                    content ->
                                            new PlacementHelper(
                                                    new UpstreamId(content.readString()),
                                                    NO_ADDRESS,
                                                    content.readLong())));
            case "measured" ->
                    new Measured(new PlacementKey(owner, reader.readLong()), reader.readLong());
            case "limited" ->
                    new Limited(
                            new UpstreamLimit(
                                    new UpstreamId(reader.readString()),
                                    perSecond(reader.readLong()),
                                    nowNanos - TimeUnit.MICROSECONDS.toNanos(reader.readLong())));
            default -> throw new MalformedContentException("unknown placement event type: " + kind);
        };
    }

    private static double perSecond(long perUnit) throws MalformedContentException {
        if (perUnit <= 0) {
            throw new MalformedContentException("limit out of range: " + perUnit);
        }
        return perUnit / LIMIT_UNIT_SECONDS;
    }

    private static PlacementOutcome outcome(String name) throws MalformedContentException {
        try {
            return PlacementOutcome.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new MalformedContentException("unknown placement outcome: " + name);
        }
    }
}
