package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.agreement.lease.LeaseRequest;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;

/** Encodes and decodes the messages of configuration leases. Stateless and thread-safe. */
public final class LeaseCodec {
    private LeaseCodec() {}

    /** Encodes a lease request. */
    public static Bytes encode(LeaseRequest request) {
        MessagePackWriter writer = new MessagePackWriter();
        writer.writeArrayHeader(4)
                .writeString(request.instance().value())
                .writeLong(request.processNonce());
        return writer.writeLong(request.requestId())
                .writeLong(request.acknowledgedVersion())
                .toBytes();
    }

    /** Decodes a lease request. */
    public static Either<MalformedContent, LeaseRequest> decodeRequest(Bytes content) {
        return MessagePackReader.decode(content, LeaseCodec::readRequest);
    }

    /** Encodes a lease grant. */
    public static Bytes encode(LeaseGrant grant) {
        MessagePackWriter writer = new MessagePackWriter();
        writer.writeArrayHeader(6)
                .writeString(grant.instance().value())
                .writeLong(grant.processNonce());
        writer.writeLong(grant.requestId()).writeLong(grant.version());
        writer.writeList(grant.document().stream().toList(), MessagePackWriter::writeBytes);
        return writer.writeLong(grant.leaseNanos()).toBytes();
    }

    /** Decodes a lease grant. */
    public static Either<MalformedContent, LeaseGrant> decodeGrant(Bytes content) {
        return MessagePackReader.decode(content, LeaseCodec::readGrant);
    }

    private static LeaseRequest readRequest(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(4);
        return new LeaseRequest(
                new InstanceId(reader.readString()),
                reader.readLong(),
                reader.readLong(),
                reader.readLong());
    }

    private static LeaseGrant readGrant(MessagePackReader reader)
            throws IOException, MalformedContentException {
        reader.expectArrayHeader(6);
        InstanceId instance = new InstanceId(reader.readString());
        long nonce = reader.readLong();
        long requestId = reader.readLong();
        long version = reader.readLong();
        Optional<Bytes> document =
                reader.readList(MessagePackReader::readBytes).stream().findFirst();
        return new LeaseGrant(instance, nonce, requestId, version, document, reader.readLong());
    }
}
