package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import io.vavr.control.Either;
import java.io.IOException;

/** Encodes memberships, for log entries, snapshots and the log store. Thread-safe. */
public final class MembershipCodec {
    private MembershipCodec() {}

    /** Encodes a membership. */
    public static Bytes encode(Membership membership) {
        PackWriter writer = new PackWriter();
        write(writer, membership);
        return writer.finish();
    }

    /** Decodes a membership. */
    public static Either<MalformedContent, Membership> decode(Bytes content) {
        return PackReader.decode(content, MembershipCodec::read);
    }

    static void write(PackWriter writer, Membership membership) {
        writer.list(
                membership.members(),
                (target, member) -> {
                    target.array(4).text(member.id().name()).text(member.id().store());
                    target.flag(member.isVoter()).text(member.address());
                });
    }

    static Membership read(PackReader reader) throws IOException, MalformedException {
        return new Membership(reader.list(MembershipCodec::readMember));
    }

    private static Member readMember(PackReader reader) throws IOException, MalformedException {
        reader.array(4);
        MemberId id = new MemberId(reader.text(), reader.text());
        MemberRole role = reader.flag() ? MemberRole.VOTER : MemberRole.LEARNER;
        return new Member(id, role, reader.text());
    }
}
