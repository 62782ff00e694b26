package dev.kumquatweir.program.fleet;

import dev.kumquatweir.agreement.codec.StateCodec;
import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import dev.kumquatweir.core.routing.UpstreamNotice;
import dev.kumquatweir.core.routing.UpstreamPhase;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * What a control instance tells of itself, the group and the upstreams that report to it.
 *
 * @param term term of its replica
 * @param leading whether it leads and may schedule
 * @param members members of the group that it knows
 * @param membersIndex how far in the log it was when it learned of them
 * @param entries entry instances that watch it
 * @param routing routing image, if it is newer than the one known
 * @param directoryLife which life of the process the revision is from
 * @param directoryRevision revision up to which the notices go
 * @param notices notices heard there since the revision that was known
 */
record WatchAnswer(
        long term,
        boolean leading,
        List<InstanceId> members,
        long membersIndex,
        int entries,
        Optional<RoutingImage> routing,
        long directoryLife,
        long directoryRevision,
        List<HeardNotice> notices) {
    WatchAnswer {
        members = List.copyOf(members);
        notices = List.copyOf(notices);
    }

    Bytes encode() {
        PackWriter writer = new PackWriter().number(term).flag(leading);
        writer.list(members, (target, member) -> target.text(member.value()));
        writer.number(membersIndex).number(entries);
        writer.list(routing.stream().toList(), StateCodec::writeRouting);
        writer.number(directoryLife).number(directoryRevision);
        writer.list(notices, WatchAnswer::write);
        return writer.finish();
    }

    static Either<MalformedContent, WatchAnswer> decode(Bytes content) {
        return PackReader.decode(
                content,
                reader ->
                        new WatchAnswer(
                                reader.number(),
                                reader.flag(),
                                reader.list(source -> new InstanceId(source.text())),
                                reader.number(),
                                reader.smallNumber(),
                                reader.list(StateCodec::readRouting).stream().findFirst(),
                                reader.number(),
                                reader.number(),
                                reader.list(WatchAnswer::read)));
    }

    private static void write(PackWriter writer, HeardNotice heard) {
        UpstreamNotice notice = heard.notice();
        writer.text(notice.id().value()).number(notice.bornMillis());
        writer.text(notice.service().value()).text(notice.address());
        writer.text(notice.domain().value()).number(notice.slots());
        writer.text(notice.phase().name()).number(notice.coldMillis());
        writer.number(notice.sequence()).number(heard.ageMillis());
    }

    private static HeardNotice read(PackReader reader) throws IOException, MalformedException {
        UpstreamNotice notice =
                new UpstreamNotice(
                        new UpstreamId(reader.text()),
                        reader.number(),
                        new ServiceName(reader.text()),
                        reader.text(),
                        new FailureDomain(reader.text()),
                        reader.smallNumber(),
                        phase(reader.text()),
                        reader.number(),
                        reader.number());
        return new HeardNotice(notice, reader.number());
    }

    private static UpstreamPhase phase(String name) throws MalformedException {
        try {
            return UpstreamPhase.valueOf(name);
        } catch (IllegalArgumentException unknown) {
            throw new MalformedException("no phase " + name);
        }
    }
}
