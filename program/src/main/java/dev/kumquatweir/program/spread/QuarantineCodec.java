package dev.kumquatweir.program.spread;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import dev.kumquatweir.policy.quarantine.BlameState;
import dev.kumquatweir.policy.quarantine.ExclusiveUse;
import dev.kumquatweir.policy.quarantine.QuarantineMark;
import dev.kumquatweir.policy.quarantine.UpstreamDeath;
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
        return new PackWriter()
                .array(NEWS_FIELDS)
                .list(update.marks(), QuarantineCodec::write)
                .list(update.uses(), QuarantineCodec::write)
                .finish();
    }

    static Either<MalformedContent, QuarantineUpdate> update(Bytes content) {
        return PackReader.decode(
                content,
                reader -> {
                    reader.array(NEWS_FIELDS);
                    return new QuarantineUpdate(
                            list(reader, MOST_MARKS, QuarantineCodec::readMark),
                            list(reader, MOST_USES, QuarantineCodec::readUse));
                });
    }

    private static void write(PackWriter writer, QuarantineMark mark) {
        writer.array(MARK_FIELDS)
                .text(mark.contentHash())
                .list(
                        mark.deaths().entrySet(),
                        (item, entry) ->
                                item.array(DEATH_FIELDS)
                                        .text(entry.getKey().upstream().value())
                                        .number(entry.getKey().incarnation())
                                        .text(entry.getValue().state().name())
                                        .number(entry.getValue().remainingNanos()));
    }

    private static void write(PackWriter writer, ExclusiveUse use) {
        writer.array(USE_FIELDS)
                .text(use.upstream().value())
                .number(use.incarnation())
                .text(use.contentHash())
                .text(use.owner())
                .flag(use.running())
                .number(use.remainingNanos());
    }

    private static QuarantineMark readMark(PackReader reader)
            throws IOException, MalformedException {
        reader.array(MARK_FIELDS);
        String hash = text(reader);
        Map<UpstreamDeath, QuarantineMark.Blame> deaths = new HashMap<>();
        list(
                reader,
                MOST_DEATHS,
                item -> {
                    item.array(DEATH_FIELDS);
                    UpstreamDeath death =
                            new UpstreamDeath(new UpstreamId(item.text()), item.number());
                    return deaths.put(
                            death, new QuarantineMark.Blame(state(item.text()), nanos(item)));
                });
        return new QuarantineMark(hash, deaths);
    }

    private static ExclusiveUse readUse(PackReader reader) throws IOException, MalformedException {
        reader.array(USE_FIELDS);
        return new ExclusiveUse(
                new UpstreamId(reader.text()),
                reader.number(),
                text(reader),
                text(reader),
                reader.flag(),
                nanos(reader));
    }

    private static <T> List<T> list(PackReader reader, int most, PackReader.Decoder<T> decoder)
            throws IOException, MalformedException {
        List<T> items = reader.list(decoder);
        if (items.size() > most) {
            throw new MalformedException("more than " + most + " items");
        }
        return items;
    }

    private static String text(PackReader reader) throws IOException, MalformedException {
        String text = reader.text();
        if (text.isEmpty() || text.length() > LONGEST_TEXT) {
            throw new MalformedException("text of " + text.length() + " characters");
        }
        return text;
    }

    private static long nanos(PackReader reader) throws IOException, MalformedException {
        long nanos = reader.number();
        if (nanos <= 0 || nanos > LONGEST_NANOS) {
            throw new MalformedException("remaining time " + nanos + " ns out of range");
        }
        return nanos;
    }

    private static BlameState state(String name) throws MalformedException {
        for (BlameState state : BlameState.values()) {
            if (state.name().equals(name)) {
                return state;
            }
        }
        throw new MalformedException("no constant " + name);
    }
}
