package dev.kumquatweir.program.spread;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRole;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Arrays;
import java.util.Set;

/** Form of upstreams' reports between instances. Thread-safe: holds no state. */
final class RegistryCodec {
    private static final int ANNOUNCEMENT_FIELDS = 14;
    private static final int LOAD_FIELDS = 8;
    private static final int CACHE_FIELDS = 4;
    private static final int CACHE_EVENT_FIELDS = 3;
    private static final int LEAVE_FIELDS = 2;

    private RegistryCodec() {}

    /**
     * One start of an upstream.
     *
     * @param id the upstream
     * @param incarnation its start
     */
    record Start(UpstreamId id, long incarnation) {}

    static Bytes encode(Announcement announcement) {
        return new PackWriter()
                .array(ANNOUNCEMENT_FIELDS)
                .text(announcement.id().value())
                .number(announcement.incarnation())
                .text(announcement.address())
                .text(announcement.domain().value())
                .text(announcement.kind().name())
                .text(announcement.service().value())
                .list(announcement.models(), (writer, model) -> writer.text(model.value()))
                .number(announcement.memoryTokens())
                .text(announcement.role().name())
                .flag(announcement.checksFencing())
                .flag(announcement.cold())
                .number(announcement.coldLimit().requests())
                .number(announcement.coldLimit().prefillTokens())
                .number(announcement.maximumRunning())
                .finish();
    }

    static Either<MalformedContent, Announcement> announcement(Bytes content) {
        return PackReader.decode(content, RegistryCodec::readAnnouncement);
    }

    static Bytes encode(LoadReport report) {
        return new PackWriter()
                .array(LOAD_FIELDS)
                .text(report.id().value())
                .number(report.incarnation())
                .number(report.sequence())
                .number(report.running())
                .number(report.queued())
                .number(report.memoryUsedTokens())
                .number(report.prefillBacklogTokens())
                .flag(report.cold())
                .finish();
    }

    static Either<MalformedContent, LoadReport> load(Bytes content) {
        return PackReader.decode(
                content,
                reader -> {
                    reader.array(LOAD_FIELDS);
                    return new LoadReport(
                            new UpstreamId(reader.text()),
                            reader.number(),
                            reader.number(),
                            reader.smallNumber(),
                            reader.smallNumber(),
                            reader.number(),
                            reader.number(),
                            reader.flag());
                });
    }

    static Bytes encode(CacheEvents events) {
        return new PackWriter()
                .array(CACHE_FIELDS)
                .text(events.id().value())
                .number(events.incarnation())
                .number(events.firstSequence())
                .list(
                        events.events(),
                        (writer, event) ->
                                writer.array(CACHE_EVENT_FIELDS)
                                        .flag(event.stored())
                                        .number(event.prefixHash())
                                        .number(event.tokens()))
                .finish();
    }

    static Either<MalformedContent, CacheEvents> cacheEvents(Bytes content) {
        return PackReader.decode(
                content,
                reader -> {
                    reader.array(CACHE_FIELDS);
                    return new CacheEvents(
                            new UpstreamId(reader.text()),
                            reader.number(),
                            reader.number(),
                            reader.list(RegistryCodec::readCacheEvent));
                });
    }

    static Bytes encode(Start start) {
        return new PackWriter()
                .array(LEAVE_FIELDS)
                .text(start.id().value())
                .number(start.incarnation())
                .finish();
    }

    static Either<MalformedContent, Start> start(Bytes content) {
        return PackReader.decode(
                content,
                reader -> {
                    reader.array(LEAVE_FIELDS);
                    return new Start(new UpstreamId(reader.text()), reader.number());
                });
    }

    private static Announcement readAnnouncement(PackReader reader)
            throws IOException, MalformedException {
        reader.array(ANNOUNCEMENT_FIELDS);
        return new Announcement(
                new UpstreamId(reader.text()),
                reader.number(),
                reader.text(),
                new FailureDomain(reader.text()),
                constant(UpstreamKind.class, reader.text()),
                new ServiceName(reader.text()),
                Set.copyOf(reader.list(item -> new ModelName(item.text()))),
                reader.number(),
                constant(UpstreamRole.class, reader.text()),
                reader.flag(),
                reader.flag(),
                new ColdLimit(reader.smallNumber(), reader.number()),
                reader.smallNumber());
    }

    private static CacheEvents.CacheEvent readCacheEvent(PackReader reader)
            throws IOException, MalformedException {
        reader.array(CACHE_EVENT_FIELDS);
        return new CacheEvents.CacheEvent(reader.flag(), reader.number(), reader.number());
    }

    private static <E extends Enum<E>> E constant(Class<E> type, String name)
            throws MalformedException {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new MalformedException("no constant " + name));
    }
}
