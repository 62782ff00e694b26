package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.LeaseCodec;
import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedContentException;
import dev.kumquatweir.core.pack.MessagePackReader;
import dev.kumquatweir.core.pack.MessagePackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;

/**
 * Response to a request for a configuration lease. Immutable.
 *
 * @param grant the lease, empty if the instance may not grant one
 * @param leader name of the leader known to the instance, empty if it knows none
 */
record LeaseResponse(Optional<LeaseGrant> grant, String leader) {
    static LeaseResponse refused(String leader) {
        return new LeaseResponse(Optional.empty(), leader);
    }

    Bytes encode() {
        return new MessagePackWriter()
                .writeBytes(grant.map(LeaseCodec::encode).orElse(Bytes.EMPTY))
                .writeString(leader)
                .toBytes();
    }

    static Either<MalformedContent, LeaseResponse> decode(Bytes content) {
        return MessagePackReader.decode(content, LeaseResponse::read);
    }

    private static LeaseResponse read(MessagePackReader reader)
            throws IOException, MalformedContentException {
        Bytes grant = reader.readBytes();
        String leader = reader.readString();
        if (grant.size() == 0) {
            return refused(leader);
        }
        Either<MalformedContent, LeaseGrant> decoded = LeaseCodec.decodeGrant(grant);
        if (decoded.isLeft()) {
            throw new MalformedContentException(decoded.getLeft().message());
        }
        return new LeaseResponse(Optional.of(decoded.get()), leader);
    }
}
