package dev.kumquatweir.agreement.codec;

import dev.kumquatweir.agreement.lease.LeaseAsk;
import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;

/** Encodes the messages of configuration leases. Thread-safe. */
public final class LeaseCodec {
    private LeaseCodec() {}

    /** Encodes an ask. */
    public static Bytes encode(LeaseAsk ask) {
        PackWriter writer = new PackWriter();
        writer.array(4).text(ask.instance().value()).number(ask.processNonce());
        return writer.number(ask.askId()).number(ask.haveVersion()).finish();
    }

    /** Decodes an ask. */
    public static Either<MalformedContent, LeaseAsk> decodeAsk(Bytes content) {
        return PackReader.decode(content, LeaseCodec::readAsk);
    }

    /** Encodes a grant. */
    public static Bytes encode(LeaseGrant grant) {
        PackWriter writer = new PackWriter();
        writer.array(6).text(grant.instance().value()).number(grant.processNonce());
        writer.number(grant.askId()).number(grant.version());
        writer.list(grant.document().stream().toList(), PackWriter::bytes);
        return writer.number(grant.leaseNanos()).finish();
    }

    /** Decodes a grant. */
    public static Either<MalformedContent, LeaseGrant> decodeGrant(Bytes content) {
        return PackReader.decode(content, LeaseCodec::readGrant);
    }

    private static LeaseAsk readAsk(PackReader reader) throws IOException, MalformedException {
        reader.array(4);
        return new LeaseAsk(
                new InstanceId(reader.text()), reader.number(), reader.number(), reader.number());
    }

    private static LeaseGrant readGrant(PackReader reader) throws IOException, MalformedException {
        reader.array(6);
        InstanceId instance = new InstanceId(reader.text());
        long nonce = reader.number();
        long askId = reader.number();
        long version = reader.number();
        Optional<Bytes> document = reader.list(PackReader::bytes).stream().findFirst();
        return new LeaseGrant(instance, nonce, askId, version, document, reader.number());
    }
}
