package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.CommandCodec;
import dev.kumquatweir.agreement.codec.StateCodec;
import dev.kumquatweir.agreement.port.Member;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.port.MemberRole;
import dev.kumquatweir.agreement.raft.MembershipChange;
import dev.kumquatweir.agreement.state.ConfigurationChange;
import dev.kumquatweir.agreement.state.StateCommand;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.CommandId;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Arrays;

/** Form of control requests and replies between instances. Thread-safe: holds no state. */
final class ControlCodec {
    private ControlCodec() {}

    static Bytes encode(ControlRequest request) {
        MessagePackWriter writer = new MessagePackWriter();
        switch (request) {
            case ControlRequest.Propose propose ->
                    writer.writeString("propose")
                            .writeBytes(CommandCodec.encode(propose.command()));
            case ControlRequest.ReadConfiguration read ->
                    writer.writeString("configuration").writeLong(read.version());
            case ControlRequest.ReadRollout read ->
                    writer.writeString("force").writeLong(read.version());
            case ControlRequest.ReadRouting _ -> writer.writeString("routing");
            case ControlRequest.ReadMembers _ -> writer.writeString("members");
            case ControlRequest.ChangeMembers change -> writeChange(writer, change.change());
            case ControlRequest.ReleaseLease release ->
                    writer.writeString("release")
                            .writeString(release.instance().value())
                            .writeLong(release.processNonce());
        }
        return writer.toBytes();
    }

    static Either<MalformedContent, ControlRequest> request(Bytes content) {
        return MessagePackReader.decode(content, ControlCodec::readRequest);
    }

    static Bytes encode(ControlReply reply) {
        MessagePackWriter writer = new MessagePackWriter();
        switch (reply) {
            case ControlReply.Applied applied -> {
                writer.writeString("applied");
                ResultCodec.write(writer, applied.result());
            }
            case ControlReply.Configuration configuration ->
                    writer.writeString("configuration")
                            .writeLong(configuration.version())
                            .writeBytes(configuration.document())
                            .writeList(configuration.history(), ControlCodec::writeHistory);
            case ControlReply.Rollout force ->
                    writer.writeString("force")
                            .writeBoolean(force.inForce())
                            .writeList(force.pendingInstances(), MessagePackWriter::writeString)
                            .writeLong(force.remainingMillis());
            case ControlReply.Routing routing -> {
                writer.writeString("routing");
                StateCodec.writeRouting(writer, routing.image());
            }
            case ControlReply.Members members ->
                    writer.writeString("members")
                            .writeList(members.members(), ControlCodec::writeMember)
                            .writeString(members.leader())
                            .writeLong(members.term())
                            .writeLong(members.commitIndex());
            case ControlReply.Done _ -> writer.writeString("done");
            case ControlReply.Failed failed -> writeFailure(writer, failed.failure());
        }
        return writer.toBytes();
    }

    static Either<MalformedContent, ControlReply> reply(Bytes content) {
        return MessagePackReader.decode(content, ControlCodec::readReply);
    }

    private static ControlRequest readRequest(MessagePackReader reader)
            throws IOException, MalformedContentException {
        String kind = reader.readString();
        return switch (kind) {
            case "propose" -> new ControlRequest.Propose(command(reader.readBytes()));
            case "configuration" -> new ControlRequest.ReadConfiguration(reader.readLong());
            case "force" -> new ControlRequest.ReadRollout(reader.readLong());
            case "routing" -> new ControlRequest.ReadRouting();
            case "members" -> new ControlRequest.ReadMembers();
            case "add", "promote", "remove", "replace" ->
                    new ControlRequest.ChangeMembers(readChange(kind, reader));
            case "release" ->
                    new ControlRequest.ReleaseLease(
                            new InstanceId(reader.readString()), reader.readLong());
            default -> throw new MalformedContentException("no request " + kind);
        };
    }

    private static StateCommand command(Bytes content) throws MalformedContentException {
        Either<MalformedContent, StateCommand> command = CommandCodec.decode(content);
        if (command.isLeft()) {
            throw new MalformedContentException(command.getLeft().message());
        }
        return command.get();
    }

    private static ControlReply readReply(MessagePackReader reader)
            throws IOException, MalformedContentException {
        String kind = reader.readString();
        return switch (kind) {
            case "applied" -> new ControlReply.Applied(ResultCodec.read(reader));
            case "configuration" ->
                    new ControlReply.Configuration(
                            reader.readLong(),
                            reader.readBytes(),
                            reader.readList(ControlCodec::readHistory));
            case "force" ->
                    new ControlReply.Rollout(
                            reader.readBoolean(),
                            reader.readList(MessagePackReader::readString),
                            reader.readLong());
            case "routing" -> new ControlReply.Routing(StateCodec.readRouting(reader));
            case "members" ->
                    new ControlReply.Members(
                            reader.readList(ControlCodec::readMember),
                            reader.readString(),
                            reader.readLong(),
                            reader.readLong());
            case "done" -> new ControlReply.Done();
            case "not_leader" ->
                    new ControlReply.Failed(new ControlFailure.NotLeader(reader.readString()));
            case "refused" ->
                    new ControlReply.Failed(
                            new ControlFailure.Refused(reader.readString(), reader.readString()));
            case "uncertain" -> new ControlReply.Failed(new ControlFailure.OutcomeUncertain());
            case "unreachable" -> new ControlReply.Failed(new ControlFailure.LeaderUnreachable());
            case "garbled" ->
                    new ControlReply.Failed(new ControlFailure.Malformed(reader.readString()));
            default -> throw new MalformedContentException("no reply " + kind);
        };
    }

    private static void writeFailure(MessagePackWriter writer, ControlFailure failure) {
        switch (failure) {
            case ControlFailure.NotLeader none ->
                    writer.writeString("not_leader").writeString(none.leader());
            case ControlFailure.Refused refused ->
                    writer.writeString("refused")
                            .writeString(refused.reason())
                            .writeString(refused.explanation());
            case ControlFailure.OutcomeUncertain _ -> writer.writeString("uncertain");
            case ControlFailure.LeaderUnreachable _ -> writer.writeString("unreachable");
            case ControlFailure.Malformed garbled ->
                    writer.writeString("garbled").writeString(garbled.problem());
        }
    }

    private static void writeChange(MessagePackWriter writer, MembershipChange change) {
        switch (change) {
            case MembershipChange.AddLearner add -> {
                writer.writeString("add");
                writeMemberId(writer, add.member());
                writer.writeString(add.address());
            }
            case MembershipChange.Promote promote -> {
                writer.writeString("promote");
                writeMemberId(writer, promote.member());
            }
            case MembershipChange.Remove remove ->
                    writer.writeString("remove").writeString(remove.name());
            case MembershipChange.Replace replace -> {
                writer.writeString("replace");
                writeMemberId(writer, replace.member());
                writer.writeString(replace.address());
            }
        }
    }

    private static MembershipChange readChange(String kind, MessagePackReader reader)
            throws IOException, MalformedContentException {
        return switch (kind) {
            case "add" ->
                    new MembershipChange.AddLearner(readMemberId(reader), reader.readString());
            case "promote" -> new MembershipChange.Promote(readMemberId(reader));
            case "remove" -> new MembershipChange.Remove(reader.readString());
            default -> new MembershipChange.Replace(readMemberId(reader), reader.readString());
        };
    }

    private static void writeHistory(MessagePackWriter writer, ConfigurationChange change) {
        writer.writeLong(change.version())
                .writeLong(change.baseVersion())
                .writeString(change.changedBy())
                .writeLong(change.changedAtMillis())
                .writeString(change.command().value());
    }

    private static ConfigurationChange readHistory(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new ConfigurationChange(
                reader.readLong(),
                reader.readLong(),
                reader.readString(),
                reader.readLong(),
                new CommandId(reader.readString()));
    }

    static void writeMember(MessagePackWriter writer, Member member) {
        writeMemberId(writer, member.id());
        writer.writeString(member.role().name()).writeString(member.address());
    }

    static Member readMember(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new Member(readMemberId(reader), role(reader.readString()), reader.readString());
    }

    static void writeMemberId(MessagePackWriter writer, MemberId id) {
        writer.writeString(id.name()).writeString(id.storeId());
    }

    static MemberId readMemberId(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new MemberId(reader.readString(), reader.readString());
    }

    private static MemberRole role(String name) throws MalformedContentException {
        return Arrays.stream(MemberRole.values())
                .filter(role -> role.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new MalformedContentException("no role " + name));
    }
}
