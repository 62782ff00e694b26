package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.raft.MessageBody;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;

/** Encodes the messages between replicas. Thread-safe. */
public final class MessageCodec {
    private static final int PRE_VOTE_REQUEST = 1;
    private static final int PRE_VOTE_RESPONSE = 2;
    private static final int VOTE_REQUEST = 3;
    private static final int VOTE_RESPONSE = 4;
    private static final int APPEND_REQUEST = 5;
    private static final int APPEND_RESPONSE = 6;
    private static final int SNAPSHOT_CHUNK = 7;
    private static final int SNAPSHOT_RESPONSE = 8;
    private static final int TIMEOUT_NOW = 9;
    private static final int STALE_TERM = 10;

    private MessageCodec() {}

    /** Encodes a message. */
    public static Bytes encode(RaftMessage message) {
        PackWriter writer = new PackWriter();
        writer.text(message.clusterId());
        writeMember(writer, message.from());
        writeMember(writer, message.to());
        writer.number(message.term());
        writeBody(writer, message.body());
        return writer.finish();
    }

    /** Decodes a message. Membership entries in it are known to be well-formed. */
    public static Either<MalformedContent, RaftMessage> decode(Bytes content) {
        return PackReader.decode(content, MessageCodec::read);
    }

    private static RaftMessage read(PackReader reader) throws IOException, MalformedException {
        return new RaftMessage(
                reader.text(),
                readMember(reader),
                readMember(reader),
                reader.number(),
                readBody(reader));
    }

    private static void writeMember(PackWriter writer, MemberId member) {
        writer.text(member.name()).text(member.store());
    }

    private static MemberId readMember(PackReader reader) throws IOException, MalformedException {
        return new MemberId(reader.text(), reader.text());
    }

    private static void writeBody(PackWriter writer, MessageBody body) {
        switch (body) {
            case MessageBody.PreVoteRequest(long lastIndex, long lastTerm) ->
                    writer.number(PRE_VOTE_REQUEST).number(lastIndex).number(lastTerm);
            case MessageBody.PreVoteResponse(boolean granted) ->
                    writer.number(PRE_VOTE_RESPONSE).flag(granted);
            case MessageBody.VoteRequest(long lastIndex, long lastTerm, boolean transfer) ->
                    writer.number(VOTE_REQUEST).number(lastIndex).number(lastTerm).flag(transfer);
            case MessageBody.VoteResponse(boolean granted) ->
                    writer.number(VOTE_RESPONSE).flag(granted);
            case MessageBody.AppendRequest request -> writeAppend(writer, request);
            case MessageBody.AppendResponse response -> {
                writer.number(APPEND_RESPONSE).flag(response.accepted());
                writer.number(response.durableIndex()).number(response.nextIndex());
                writer.number(response.refusedIndex()).number(response.stamp());
            }
            case MessageBody.SnapshotChunk chunk -> writeChunk(writer, chunk);
            case MessageBody.SnapshotResponse(long index, long nextOffset, long stamp) ->
                    writer.number(SNAPSHOT_RESPONSE).number(index).number(nextOffset).number(stamp);
            case MessageBody.TimeoutNow() -> writer.number(TIMEOUT_NOW);
            case MessageBody.StaleTerm() -> writer.number(STALE_TERM);
        }
    }

    private static void writeAppend(PackWriter writer, MessageBody.AppendRequest request) {
        writer.number(APPEND_REQUEST);
        writer.number(request.previousIndex()).number(request.previousTerm());
        writer.number(request.commitIndex()).number(request.stamp());
        writer.list(
                request.entries(),
                (target, entry) ->
                        target.number(entry.term())
                                .number(entry.kind().code())
                                .bytes(entry.payload()));
    }

    private static void writeChunk(PackWriter writer, MessageBody.SnapshotChunk chunk) {
        writer.number(SNAPSHOT_CHUNK).number(chunk.index()).number(chunk.snapshotTerm());
        MembershipCodec.write(writer, chunk.membership());
        writer.number(chunk.offset()).bytes(chunk.data()).flag(chunk.last());
        writer.number(chunk.stamp());
    }

    private static MessageBody readBody(PackReader reader) throws IOException, MalformedException {
        int kind = reader.smallNumber();
        return switch (kind) {
            case PRE_VOTE_REQUEST ->
                    new MessageBody.PreVoteRequest(reader.number(), reader.number());
            case PRE_VOTE_RESPONSE -> new MessageBody.PreVoteResponse(reader.flag());
            case VOTE_REQUEST ->
                    new MessageBody.VoteRequest(reader.number(), reader.number(), reader.flag());
            case VOTE_RESPONSE -> new MessageBody.VoteResponse(reader.flag());
            case APPEND_REQUEST -> readAppend(reader);
            case APPEND_RESPONSE ->
                    new MessageBody.AppendResponse(
                            reader.flag(),
                            reader.number(),
                            reader.number(),
                            reader.number(),
                            reader.number());
            case SNAPSHOT_CHUNK ->
                    new MessageBody.SnapshotChunk(
                            reader.number(),
                            reader.number(),
                            MembershipCodec.read(reader),
                            reader.number(),
                            reader.bytes(),
                            reader.flag(),
                            reader.number());
            case SNAPSHOT_RESPONSE ->
                    new MessageBody.SnapshotResponse(
                            reader.number(), reader.number(), reader.number());
            case TIMEOUT_NOW -> new MessageBody.TimeoutNow();
            case STALE_TERM -> new MessageBody.StaleTerm();
            default -> throw new MalformedException("unknown message " + kind);
        };
    }

    private static MessageBody readAppend(PackReader reader)
            throws IOException, MalformedException {
        long previousIndex = reader.number();
        long previousTerm = reader.number();
        long commitIndex = reader.number();
        long stamp = reader.number();
        if (previousIndex < 0) {
            throw new MalformedException("negative index");
        }
        long[] index = {previousIndex};
        List<LogEntry> entries = reader.list(source -> readEntry(source, ++index[0]));
        return new MessageBody.AppendRequest(
                previousIndex, previousTerm, entries, commitIndex, stamp);
    }

    private static LogEntry readEntry(PackReader reader, long index)
            throws IOException, MalformedException {
        long term = reader.number();
        EntryKind kind = EntryKind.ofCode(reader.smallNumber());
        Bytes payload = reader.bytes();
        boolean valid =
                kind != null
                        && (kind != EntryKind.MEMBERSHIP
                                || MembershipCodec.decode(payload).isRight());
        if (kind == null || !valid) {
            throw new MalformedException("invalid log entry " + index);
        }
        return new LogEntry(index, term, payload, kind);
    }
}
