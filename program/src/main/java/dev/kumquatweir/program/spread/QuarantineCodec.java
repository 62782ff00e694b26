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
    static final int MOST_MARKS = 256;

    static final int MOST_DEATHS = 64;

    /** Above a quarter of the upstreams of the largest deployment. */
    static final int MOST_USES = 1_024;

    private static final int LONGEST_TEXT = 256;
    private static final long LONGEST_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final int NEWS_FIELDS = 2;
    private static final int MARK_FIELDS = 2;
    private static final int DEATH_FIELDS = 4;
    private static final int USE_FIELDS = 6;

    private QuarantineCodec() {}

    static Bytes encode(QuarantineUpdate update) {
        return new MessagePackWriter()
                .writeArrayHeader(NEWS_FIELDS)
                .writeList(update.marks(), QuarantineCodec::write)
                .writeList(update.uses(), QuarantineCodec::write)
                .toBytes();
    }

    static Either<MalformedContent, QuarantineUpdate> update(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    reader.expectArrayHeader(NEWS_FIELDS);
                    return new QuarantineUpdate(
                            list(reader, MOST_MARKS, QuarantineCodec::readMark),
                            list(reader, MOST_USES, QuarantineCodec::readUse));
                });
    }

    private static void write(MessagePackWriter writer, QuarantineMark mark) {
        writer.writeArrayHeader(MARK_FIELDS)
                .writeString(mark.contentHash())
                .writeList(
                        mark.suspicions().entrySet(),
                        (item, entry) ->
                                item.writeArrayHeader(DEATH_FIELDS)
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
        String hash = text(reader);
        Map<UpstreamIncarnation, QuarantineMark.Suspicion> deaths = new HashMap<>();
        list(
                reader,
                MOST_DEATHS,
                item -> {
                    item.expectArrayHeader(DEATH_FIELDS);
                    UpstreamIncarnation death =
                            new UpstreamIncarnation(
                                    new UpstreamId(item.readString()), item.readLong());
                    return deaths.put(
                            death,
                            new QuarantineMark.Suspicion(state(item.readString()), nanos(item)));
                });
        return new QuarantineMark(hash, deaths);
    }

    private static ExclusiveUse readUse(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(USE_FIELDS);
        return new ExclusiveUse(
                new UpstreamId(reader.readString()),
                reader.readLong(),
                text(reader),
                text(reader),
                reader.readBoolean(),
                nanos(reader));
    }

    private static <T> List<T> list(
            MessagePackReader reader, int most, MessagePackReader.Decoder<T> decoder)
            throws IOException, MalformedContentException {
        List<T> items = reader.readList(decoder);
        if (items.size() > most) {
            throw new MalformedContentException("more than " + most + " items");
        }
        return items;
    }

    private static String text(MessagePackReader reader)
            throws IOException, MalformedContentException {
        String text = reader.readString();
        if (text.isEmpty() || text.length() > LONGEST_TEXT) {
            throw new MalformedContentException("text of " + text.length() + " characters");
        }
        return text;
    }

    private static long nanos(MessagePackReader reader)
            throws IOException, MalformedContentException {
        long nanos = reader.readLong();
        if (nanos <= 0 || nanos > LONGEST_NANOS) {
            throw new MalformedContentException("remaining time " + nanos + " ns out of range");
        }
        return nanos;
    }

    private static SuspicionState state(String name) throws MalformedContentException {
        for (SuspicionState state : SuspicionState.values()) {
            if (state.name().equals(name)) {
                return state;
            }
        }
        throw new MalformedContentException("no constant " + name);
    }
}
