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
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Arrays;

/** Form of control requests and replies between instances. Thread-safe: holds no state. */
final class ControlCodec {
    private ControlCodec() {}

    static Bytes encode(ControlRequest request) {
        PackWriter writer = new PackWriter();
        switch (request) {
            case ControlRequest.Propose propose ->
                    writer.text("propose").bytes(CommandCodec.encode(propose.command()));
            case ControlRequest.ReadConfiguration read ->
                    writer.text("configuration").number(read.version());
            case ControlRequest.ReadForce read -> writer.text("force").number(read.version());
            case ControlRequest.ReadRouting _ -> writer.text("routing");
            case ControlRequest.ReadMembers _ -> writer.text("members");
            case ControlRequest.ChangeMembers change -> writeChange(writer, change.change());
            case ControlRequest.ReleaseLease release ->
                    writer.text("release")
                            .text(release.instance().value())
                            .number(release.processNonce());
        }
        return writer.finish();
    }

    static Either<MalformedContent, ControlRequest> request(Bytes content) {
        return PackReader.decode(content, ControlCodec::readRequest);
    }

    static Bytes encode(ControlReply reply) {
        PackWriter writer = new PackWriter();
        switch (reply) {
            case ControlReply.Applied applied -> {
                writer.text("applied");
                ResultCodec.write(writer, applied.result());
            }
            case ControlReply.Configuration configuration ->
                    writer.text("configuration")
                            .number(configuration.version())
                            .bytes(configuration.document())
                            .list(configuration.history(), ControlCodec::writeHistory);
            case ControlReply.Force force ->
                    writer.text("force")
                            .flag(force.inForce())
                            .list(force.behind(), PackWriter::text)
                            .number(force.remainingMillis());
            case ControlReply.Routing routing -> {
                writer.text("routing");
                StateCodec.writeRouting(writer, routing.image());
            }
            case ControlReply.Members members ->
                    writer.text("members")
                            .list(members.members(), ControlCodec::writeMember)
                            .text(members.leader())
                            .number(members.term())
                            .number(members.commitIndex());
            case ControlReply.Done _ -> writer.text("done");
            case ControlReply.Failed failed -> writeFailure(writer, failed.failure());
        }
        return writer.finish();
    }

    static Either<MalformedContent, ControlReply> reply(Bytes content) {
        return PackReader.decode(content, ControlCodec::readReply);
    }

    private static ControlRequest readRequest(PackReader reader)
            throws IOException, MalformedException {
        String kind = reader.text();
        return switch (kind) {
            case "propose" -> new ControlRequest.Propose(command(reader.bytes()));
            case "configuration" -> new ControlRequest.ReadConfiguration(reader.number());
            case "force" -> new ControlRequest.ReadForce(reader.number());
            case "routing" -> new ControlRequest.ReadRouting();
            case "members" -> new ControlRequest.ReadMembers();
            case "add", "promote", "remove", "replace" ->
                    new ControlRequest.ChangeMembers(readChange(kind, reader));
            case "release" ->
                    new ControlRequest.ReleaseLease(new InstanceId(reader.text()), reader.number());
            default -> throw new MalformedException("no request " + kind);
        };
    }

    private static StateCommand command(Bytes content) throws MalformedException {
        Either<MalformedContent, StateCommand> command = CommandCodec.decode(content);
        if (command.isLeft()) {
            throw new MalformedException(command.getLeft().message());
        }
        return command.get();
    }

    private static ControlReply readReply(PackReader reader)
            throws IOException, MalformedException {
        String kind = reader.text();
        return switch (kind) {
            case "applied" -> new ControlReply.Applied(ResultCodec.read(reader));
            case "configuration" ->
                    new ControlReply.Configuration(
                            reader.number(),
                            reader.bytes(),
                            reader.list(ControlCodec::readHistory));
            case "force" ->
                    new ControlReply.Force(
                            reader.flag(), reader.list(PackReader::text), reader.number());
            case "routing" -> new ControlReply.Routing(StateCodec.readRouting(reader));
            case "members" ->
                    new ControlReply.Members(
                            reader.list(ControlCodec::readMember),
                            reader.text(),
                            reader.number(),
                            reader.number());
            case "done" -> new ControlReply.Done();
            case "not_leader" ->
                    new ControlReply.Failed(new ControlFailure.NotLeader(reader.text()));
            case "refused" ->
                    new ControlReply.Failed(
                            new ControlFailure.Refused(reader.text(), reader.text()));
            case "uncertain" -> new ControlReply.Failed(new ControlFailure.Uncertain());
            case "unreachable" -> new ControlReply.Failed(new ControlFailure.Unreachable());
            case "garbled" -> new ControlReply.Failed(new ControlFailure.Garbled(reader.text()));
            default -> throw new MalformedException("no reply " + kind);
        };
    }

    private static void writeFailure(PackWriter writer, ControlFailure failure) {
        switch (failure) {
            case ControlFailure.NotLeader none -> writer.text("not_leader").text(none.leader());
            case ControlFailure.Refused refused ->
                    writer.text("refused").text(refused.reason()).text(refused.explanation());
            case ControlFailure.Uncertain _ -> writer.text("uncertain");
            case ControlFailure.Unreachable _ -> writer.text("unreachable");
            case ControlFailure.Garbled garbled -> writer.text("garbled").text(garbled.problem());
        }
    }

    private static void writeChange(PackWriter writer, MembershipChange change) {
        switch (change) {
            case MembershipChange.AddLearner add -> {
                writer.text("add");
                writeMemberId(writer, add.member());
                writer.text(add.address());
            }
            case MembershipChange.Promote promote -> {
                writer.text("promote");
                writeMemberId(writer, promote.member());
            }
            case MembershipChange.Remove remove -> writer.text("remove").text(remove.name());
            case MembershipChange.Replace replace -> {
                writer.text("replace");
                writeMemberId(writer, replace.member());
                writer.text(replace.address());
            }
        }
    }

    private static MembershipChange readChange(String kind, PackReader reader)
            throws IOException, MalformedException {
        return switch (kind) {
            case "add" -> new MembershipChange.AddLearner(readMemberId(reader), reader.text());
            case "promote" -> new MembershipChange.Promote(readMemberId(reader));
            case "remove" -> new MembershipChange.Remove(reader.text());
            default -> new MembershipChange.Replace(readMemberId(reader), reader.text());
        };
    }

    private static void writeHistory(PackWriter writer, ConfigurationChange change) {
        writer.number(change.version())
                .number(change.baseVersion())
                .text(change.changedBy())
                .number(change.changedAtMillis())
                .text(change.command().value());
    }

    private static ConfigurationChange readHistory(PackReader reader)
            throws IOException, MalformedException {
        return new ConfigurationChange(
                reader.number(),
                reader.number(),
                reader.text(),
                reader.number(),
                new CommandId(reader.text()));
    }

    static void writeMember(PackWriter writer, Member member) {
        writeMemberId(writer, member.id());
        writer.text(member.role().name()).text(member.address());
    }

    static Member readMember(PackReader reader) throws IOException, MalformedException {
        return new Member(readMemberId(reader), role(reader.text()), reader.text());
    }

    static void writeMemberId(PackWriter writer, MemberId id) {
        writer.text(id.name()).text(id.store());
    }

    static MemberId readMemberId(PackReader reader) throws IOException, MalformedException {
        return new MemberId(reader.text(), reader.text());
    }

    private static MemberRole role(String name) throws MalformedException {
        return Arrays.stream(MemberRole.values())
                .filter(role -> role.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new MalformedException("no role " + name));
    }
}
