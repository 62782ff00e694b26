package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.port.Membership;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.io.IOException;

/**
 * Encodes and decodes memberships, for log entries, snapshots and the log store. Stateless and
 * thread-safe.
 */
public final class MembershipCodec {
    private MembershipCodec() {}

    /** Encodes a membership. */
    public static Bytes encode(Membership membership) {
        MessagePackWriter writer = new MessagePackWriter();
        write(writer, membership);
        return writer.toBytes();
    }

    /** Decodes a membership. */
    public static Either<MalformedContent, Membership> decode(Bytes content) {
        return MessagePackReader.decode(content, MembershipCodec::read);
    }

    static void write(MessagePackWriter writer, Membership membership) {
        writer.writeList(
                membership.members(),
                (target, member) -> {
                    target.writeArrayHeader(4)
                            .writeString(member.id().name())
                            .writeString(member.id().storeId());
                    target.writeBoolean(member.isVoter()).writeString(member.address());
                });
    }

    static Membership read(MessagePackReader reader) throws IOException, MalformedContentException {
        return new Membership(reader.readList(MembershipCodec::readMember));
    }

    private static Member readMember(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(4);
        MemberId id = new MemberId(reader.readString(), reader.readString());
        MemberRole role = reader.readBoolean() ? MemberRole.VOTER : MemberRole.LEARNER;
        return new Member(id, role, reader.readString());
    }
}
