package dev.kumquatweir.program.spread;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import dev.kumquatweir.policy.quarantine.ExclusiveUse;
import dev.kumquatweir.policy.quarantine.QuarantineMark;
import dev.kumquatweir.policy.quarantine.SuspicionState;
import dev.kumquatweir.policy.quarantine.UpstreamIncarnation;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Form of quarantine updates between instances. Thread-safe: holds no state. */
final class QuarantineCodec {
    /** Bounds of one frame; a sender with more sends several. */
    static final int MAXIMUM_MARKS = 256;

    static final int MAXIMUM_SUSPICIONS = 64;

    /** Above a quarter of the upstreams of the largest deployment. */
    static final int MAXIMUM_EXCLUSIVE_USES = 1_024;

    private static final int MAXIMUM_TEXT_CHARACTERS = 256;
    private static final long MAXIMUM_REMAINING_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final int UPDATE_FIELDS = 2;
    private static final int MARK_FIELDS = 2;
    private static final int SUSPICION_FIELDS = 4;
    private static final int USE_FIELDS = 6;

    private QuarantineCodec() {}

    static Bytes encode(QuarantineUpdate update) {
        return new MessagePackWriter()
                .writeArrayHeader(UPDATE_FIELDS)
                .writeList(update.marks(), QuarantineCodec::write)
                .writeList(update.exclusiveUses(), QuarantineCodec::write)
                .toBytes();
    }

    static Either<MalformedContent, QuarantineUpdate> decode(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    reader.expectArrayHeader(UPDATE_FIELDS);
                    return new QuarantineUpdate(
                            readBoundedList(reader, MAXIMUM_MARKS, QuarantineCodec::readMark),
                            readBoundedList(
                                    reader, MAXIMUM_EXCLUSIVE_USES, QuarantineCodec::readUse));
                });
    }

    private static void write(MessagePackWriter writer, QuarantineMark mark) {
        writer.writeArrayHeader(MARK_FIELDS)
                .writeString(mark.contentHash())
                .writeList(
                        mark.suspicions().entrySet(),
                        (item, entry) ->
                                item.writeArrayHeader(SUSPICION_FIELDS)
                                        .writeString(entry.getKey().upstream().value())
                                        .writeLong(entry.getKey().incarnation())
                                        .writeString(entry.getValue().state().name())
                                        .writeLong(entry.getValue().remainingNanos()));
    }

    private static void write(MessagePackWriter writer, ExclusiveUse use) {
        writer.writeArrayHeader(USE_FIELDS)
                .writeString(use.upstream().value())
                .writeLong(use.incarnation())
                .writeString(use.contentHash())
                .writeString(use.owner())
                .writeBoolean(use.running())
                .writeLong(use.remainingNanos());
    }

    private static QuarantineMark readMark(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(MARK_FIELDS);
        String hash = readText(reader);
        Map<UpstreamIncarnation, QuarantineMark.Suspicion> suspicions = new HashMap<>();
        readBoundedList(
                reader,
                MAXIMUM_SUSPICIONS,
                item -> {
                    item.expectArrayHeader(SUSPICION_FIELDS);
                    UpstreamIncarnation incarnation =
                            new UpstreamIncarnation(
                                    new UpstreamId(item.readString()), item.readLong());
                    return suspicions.put(
                            incarnation,
                            new QuarantineMark.Suspicion(
                                    parseSuspicionState(item.readString()),
                                    readRemainingNanos(item)));
                });
        return new QuarantineMark(hash, suspicions);
    }

    private static ExclusiveUse readUse(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(USE_FIELDS);
        return new ExclusiveUse(
                new UpstreamId(reader.readString()),
                reader.readLong(),
                readText(reader),
                readText(reader),
                reader.readBoolean(),
                readRemainingNanos(reader));
    }

    private static <T> List<T> readBoundedList(
            MessagePackReader reader, int maximumItems, MessagePackReader.Decoder<T> decoder)
            throws IOException, MalformedContentException {
        List<T> items = reader.readList(decoder);
        if (items.size() > maximumItems) {
            throw new MalformedContentException("more than " + maximumItems + " items");
        }
        return items;
    }

    private static String readText(MessagePackReader reader)
            throws IOException, MalformedContentException {
        String text = reader.readString();
        if (text.isEmpty() || text.length() > MAXIMUM_TEXT_CHARACTERS) {
            throw new MalformedContentException("text of " + text.length() + " characters");
        }
        return text;
    }

    private static long readRemainingNanos(MessagePackReader reader)
            throws IOException, MalformedContentException {
        long nanos = reader.readLong();
        if (nanos <= 0 || nanos > MAXIMUM_REMAINING_NANOS) {
            throw new MalformedContentException("remaining time " + nanos + " ns out of range");
        }
        return nanos;
    }

    private static SuspicionState parseSuspicionState(String name)
            throws MalformedContentException {
        for (SuspicionState state : SuspicionState.values()) {
            if (state.name().equals(name)) {
                return state;
            }
        }
        throw new MalformedContentException("no constant " + name);
    }
}
