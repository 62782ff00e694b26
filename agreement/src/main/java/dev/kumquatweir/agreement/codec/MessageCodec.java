package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.port.EntryKind;
import dev.kumquatweir.agreement.port.LogEntry;
import dev.kumquatweir.agreement.port.MemberId;
import dev.kumquatweir.agreement.raft.MessageBody;
import dev.kumquatweir.agreement.raft.RaftMessage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;

/** Encodes and decodes the messages between replicas. Stateless and thread-safe. */
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
        MessagePackWriter writer = new MessagePackWriter();
        writer.writeString(message.clusterId());
        writeMember(writer, message.from());
        writeMember(writer, message.to());
        writer.writeLong(message.term());
        writeBody(writer, message.body());
        return writer.toBytes();
    }

    /** Decodes a message. Also checks that the payloads of membership entries can be decoded. */
    public static Either<MalformedContent, RaftMessage> decode(Bytes content) {
        return MessagePackReader.decode(content, MessageCodec::read);
    }

    private static RaftMessage read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new RaftMessage(
                reader.readString(),
                readMember(reader),
                readMember(reader),
                reader.readLong(),
                readBody(reader));
    }

    private static void writeMember(MessagePackWriter writer, MemberId member) {
        writer.writeString(member.name()).writeString(member.storeId());
    }

    private static MemberId readMember(MessagePackReader reader)
            throws IOException, MalformedContentException {
        return new MemberId(reader.readString(), reader.readString());
    }

    private static void writeBody(MessagePackWriter writer, MessageBody body) {
        switch (body) {
            case MessageBody.PreVoteRequest(long lastIndex, long lastTerm) ->
                    writer.writeLong(PRE_VOTE_REQUEST).writeLong(lastIndex).writeLong(lastTerm);
            case MessageBody.PreVoteResponse(boolean granted) ->
                    writer.writeLong(PRE_VOTE_RESPONSE).writeBoolean(granted);
            case MessageBody.VoteRequest(long lastIndex, long lastTerm, boolean transfer) ->
                    writer.writeLong(VOTE_REQUEST)
                            .writeLong(lastIndex)
                            .writeLong(lastTerm)
                            .writeBoolean(transfer);
            case MessageBody.VoteResponse(boolean granted) ->
                    writer.writeLong(VOTE_RESPONSE).writeBoolean(granted);
            case MessageBody.AppendEntriesRequest request -> writeAppend(writer, request);
            case MessageBody.AppendEntriesResponse response -> {
                writer.writeLong(APPEND_RESPONSE).writeBoolean(response.accepted());
                writer.writeLong(response.durableIndex()).writeLong(response.nextIndex());
                writer.writeLong(response.rejectedIndex()).writeLong(response.echoedSentNanos());
            }
            case MessageBody.InstallSnapshotRequest chunk -> writeChunk(writer, chunk);
            case MessageBody.InstallSnapshotResponse(long index, long nextOffset, long stamp) ->
                    writer.writeLong(SNAPSHOT_RESPONSE)
                            .writeLong(index)
                            .writeLong(nextOffset)
                            .writeLong(stamp);
            case MessageBody.TimeoutNow() -> writer.writeLong(TIMEOUT_NOW);
            case MessageBody.StaleTerm() -> writer.writeLong(STALE_TERM);
        }
    }

    private static void writeAppend(
            MessagePackWriter writer, MessageBody.AppendEntriesRequest request) {
        writer.writeLong(APPEND_REQUEST);
        writer.writeLong(request.previousLogIndex()).writeLong(request.previousLogTerm());
        writer.writeLong(request.leaderCommitIndex()).writeLong(request.sentNanos());
        writer.writeList(
                request.entries(),
                (target, entry) ->
                        target.writeLong(entry.term())
                                .writeLong(entry.kind().code())
                                .writeBytes(entry.payload()));
    }

    private static void writeChunk(
            MessagePackWriter writer, MessageBody.InstallSnapshotRequest chunk) {
        writer.writeLong(SNAPSHOT_CHUNK)
                .writeLong(chunk.lastIncludedIndex())
                .writeLong(chunk.lastIncludedTerm());
        MembershipCodec.write(writer, chunk.membership());
        writer.writeLong(chunk.offset()).writeBytes(chunk.data()).writeBoolean(chunk.done());
        writer.writeLong(chunk.sentNanos());
    }

    private static MessageBody readBody(MessagePackReader reader)
            throws IOException, MalformedContentException {
        int kind = reader.readInt();
        return switch (kind) {
            case PRE_VOTE_REQUEST ->
                    new MessageBody.PreVoteRequest(reader.readLong(), reader.readLong());
            case PRE_VOTE_RESPONSE -> new MessageBody.PreVoteResponse(reader.readBoolean());
            case VOTE_REQUEST ->
                    new MessageBody.VoteRequest(
                            reader.readLong(), reader.readLong(), reader.readBoolean());
            case VOTE_RESPONSE -> new MessageBody.VoteResponse(reader.readBoolean());
            case APPEND_REQUEST -> readAppend(reader);
            case APPEND_RESPONSE ->
                    new MessageBody.AppendEntriesResponse(
                            reader.readBoolean(),
                            reader.readLong(),
                            reader.readLong(),
                            reader.readLong(),
                            reader.readLong());
            case SNAPSHOT_CHUNK ->
                    new MessageBody.InstallSnapshotRequest(
                            reader.readLong(),
                            reader.readLong(),
                            MembershipCodec.read(reader),
                            reader.readLong(),
                            reader.readBytes(),
                            reader.readBoolean(),
                            reader.readLong());
            case SNAPSHOT_RESPONSE ->
                    new MessageBody.InstallSnapshotResponse(
                            reader.readLong(), reader.readLong(), reader.readLong());
            case TIMEOUT_NOW -> new MessageBody.TimeoutNow();
            case STALE_TERM -> new MessageBody.StaleTerm();
            default -> throw new MalformedContentException("unknown message " + kind);
        };
    }

    private static MessageBody readAppend(MessagePackReader reader)
            throws IOException, MalformedContentException {
        long previousIndex = reader.readLong();
        long previousTerm = reader.readLong();
        long commitIndex = reader.readLong();
        long stamp = reader.readLong();
        if (previousIndex < 0) {
            throw new MalformedContentException("negative index");
        }
        long[] index = {previousIndex};
        List<LogEntry> entries = reader.readList(source -> readEntry(source, ++index[0]));
        return new MessageBody.AppendEntriesRequest(
                previousIndex, previousTerm, entries, commitIndex, stamp);
    }

    private static LogEntry readEntry(MessagePackReader reader, long index)
            throws IOException, MalformedContentException {
        long term = reader.readLong();
        EntryKind kind = EntryKind.ofCode(reader.readInt());
        Bytes payload = reader.readBytes();
        boolean valid =
                kind != null
                        && (kind != EntryKind.MEMBERSHIP
                                || MembershipCodec.decode(payload).isRight());
        if (kind == null || !valid) {
            throw new MalformedContentException("invalid log entry " + index);
        }
        return new LogEntry(index, term, payload, kind);
    }
}
