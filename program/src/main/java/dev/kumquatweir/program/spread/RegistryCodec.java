package dev.kumquatweir.program.spread;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
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
    record IncarnationKey(UpstreamId id, long incarnation) {}

    static Bytes encode(Announcement announcement) {
        return new MessagePackWriter()
                .writeArrayHeader(ANNOUNCEMENT_FIELDS)
                .writeString(announcement.id().value())
                .writeLong(announcement.incarnation())
                .writeString(announcement.address())
                .writeString(announcement.domain().value())
                .writeString(announcement.kind().name())
                .writeString(announcement.service().value())
                .writeList(
                        announcement.models(), (writer, model) -> writer.writeString(model.value()))
                .writeLong(announcement.memoryTokens())
                .writeString(announcement.role().name())
                .writeBoolean(announcement.checksFencing())
                .writeBoolean(announcement.cold())
                .writeLong(announcement.coldLimit().requests())
                .writeLong(announcement.coldLimit().prefillTokens())
                .writeLong(announcement.maximumRunning())
                .toBytes();
    }

    static Either<MalformedContent, Announcement> decodeAnnouncement(Bytes content) {
        return MessagePackReader.decode(content, RegistryCodec::readAnnouncement);
    }

    static Bytes encode(LoadReport report) {
        return new MessagePackWriter()
                .writeArrayHeader(LOAD_FIELDS)
                .writeString(report.id().value())
                .writeLong(report.incarnation())
                .writeLong(report.sequence())
                .writeLong(report.running())
                .writeLong(report.queued())
                .writeLong(report.memoryUsedTokens())
                .writeLong(report.prefillBacklogTokens())
                .writeBoolean(report.cold())
                .toBytes();
    }

    static Either<MalformedContent, LoadReport> decodeLoad(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    reader.expectArrayHeader(LOAD_FIELDS);
                    return new LoadReport(
                            new UpstreamId(reader.readString()),
                            reader.readLong(),
                            reader.readLong(),
                            reader.readInt(),
                            reader.readInt(),
                            reader.readLong(),
                            reader.readLong(),
                            reader.readBoolean());
                });
    }

    static Bytes encode(CacheEvents events) {
        return new MessagePackWriter()
                .writeArrayHeader(CACHE_FIELDS)
                .writeString(events.id().value())
                .writeLong(events.incarnation())
                .writeLong(events.firstSequence())
                .writeList(
                        events.events(),
                        (writer, event) ->
                                writer.writeArrayHeader(CACHE_EVENT_FIELDS)
                                        .writeBoolean(event.stored())
                                        .writeLong(event.prefixHash())
                                        .writeLong(event.tokens()))
                .toBytes();
    }

    static Either<MalformedContent, CacheEvents> decodeCacheEvents(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    reader.expectArrayHeader(CACHE_FIELDS);
                    return new CacheEvents(
                            new UpstreamId(reader.readString()),
                            reader.readLong(),
                            reader.readLong(),
                            reader.readList(RegistryCodec::readCacheEvent));
                });
    }

    static Bytes encode(IncarnationKey key) {
        return new MessagePackWriter()
                .writeArrayHeader(LEAVE_FIELDS)
                .writeString(key.id().value())
                .writeLong(key.incarnation())
                .toBytes();
    }

    static Either<MalformedContent, IncarnationKey> decodeIncarnationKey(Bytes content) {
        return MessagePackReader.decode(
                content,
                reader -> {
                    reader.expectArrayHeader(LEAVE_FIELDS);
                    return new IncarnationKey(
                            new UpstreamId(reader.readString()), reader.readLong());
                });
    }

    private static Announcement readAnnouncement(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(ANNOUNCEMENT_FIELDS);
        return new Announcement(
                new UpstreamId(reader.readString()),
                reader.readLong(),
                reader.readString(),
                new FailureDomain(reader.readString()),
                parseEnumConstant(UpstreamKind.class, reader.readString()),
                new ServiceName(reader.readString()),
                Set.copyOf(reader.readList(item -> new ModelName(item.readString()))),
                reader.readLong(),
                parseEnumConstant(UpstreamRole.class, reader.readString()),
                reader.readBoolean(),
                reader.readBoolean(),
                new ColdLimit(reader.readInt(), reader.readLong()),
                reader.readInt());
    }

    private static CacheEvents.CacheEvent readCacheEvent(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(CACHE_EVENT_FIELDS);
        return new CacheEvents.CacheEvent(
                reader.readBoolean(), reader.readLong(), reader.readLong());
    }

    private static <E extends Enum<E>> E parseEnumConstant(Class<E> type, String name)
            throws MalformedContentException {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> constant.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new MalformedContentException("no constant " + name));
    }
}
