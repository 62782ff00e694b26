package dev.kumquatweir.program.control;

import dev.kumquatweir.agreement.codec.LeaseCodec;
import dev.kumquatweir.agreement.lease.LeaseGrant;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import dev.kumquatweir.core.pack.MalformedException;
import dev.kumquatweir.core.pack.PackReader;
import dev.kumquatweir.core.pack.PackWriter;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;

/**
 * Answer to an ask for a configuration lease. Immutable.
 *
 * @param grant the lease, empty if the instance may not grant one
 * @param leader who leads in its view, empty if it does not know
 */
record LeaseAnswer(Optional<LeaseGrant> grant, String leader) {
    static LeaseAnswer refused(String leader) {
        return new LeaseAnswer(Optional.empty(), leader);
    }

    Bytes encode() {
        return new PackWriter()
                .bytes(grant.map(LeaseCodec::encode).orElse(Bytes.EMPTY))
                .text(leader)
                .finish();
    }

    static Either<MalformedContent, LeaseAnswer> decode(Bytes content) {
        return PackReader.decode(content, LeaseAnswer::read);
    }

    private static LeaseAnswer read(PackReader reader) throws IOException, MalformedException {
        Bytes grant = reader.bytes();
        String leader = reader.text();
        if (grant.size() == 0) {
            return refused(leader);
        }
        Either<MalformedContent, LeaseGrant> decoded = LeaseCodec.decodeGrant(grant);
        if (decoded.isLeft()) {
            throw new MalformedException(decoded.getLeft().message());
        }
        return new LeaseAnswer(Optional.of(decoded.get()), leader);
    }
}
