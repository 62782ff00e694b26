package dev.kumquatweir.program.fleet;

import dev.kumquatweir.agreement.state.RoutingImage;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.pack.MalformedContent;
import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Compresses the document of a routing image for its way to other instances. Documents repeat their
 * field names for each route, and each change is sent to all instances, over links of a few Mbit/s.
 * Remembers the last image that it compressed; not thread-safe.
 */
final class CompactRouting {
    /** Above the largest document that a control instance accepts. */
    private static final int MAXIMUM_DOCUMENT_BYTES = 16 << 20;

    private RoutingImage mLast = RoutingImage.EMPTY;
    private RoutingImage mLastCompact = RoutingImage.EMPTY;

    /** Returns the image with its document compressed. */
    RoutingImage compact(RoutingImage routing) {
        if (!mLast.equals(routing)) {
            mLastCompact = withDocument(routing, deflate(routing.document()));
            mLast = routing;
        }
        return mLastCompact;
    }

    /** Restores an image that {@link #compact} returned. */
    static Either<MalformedContent, RoutingImage> expand(RoutingImage compact) {
        if (compact.document().size() == 0) {
            return Either.right(compact);
        }
        try (InflaterInputStream input =
                new InflaterInputStream(new ByteArrayInputStream(compact.document().toArray()))) {
            byte[] document = input.readNBytes(MAXIMUM_DOCUMENT_BYTES + 1);
            return document.length > MAXIMUM_DOCUMENT_BYTES
                    ? Either.left(new MalformedContent(0, "document exceeds the limit"))
                    : Either.right(withDocument(compact, Bytes.copyOf(document)));
        } catch (IOException malformed) {
            return Either.left(new MalformedContent(0, String.valueOf(malformed.getMessage())));
        }
    }

    private static Bytes deflate(Bytes document) {
        if (document.size() == 0) {
            return document;
        }
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream compressed = new DeflaterOutputStream(output, deflater)) {
            compressed.write(document.toArray());
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        } finally {
            deflater.end();
        }
        return Bytes.copyOf(output.toByteArray());
    }

    private static RoutingImage withDocument(RoutingImage routing, Bytes document) {
        return new RoutingImage(
                routing.version(), document, routing.domainsOutOfService(), routing.changeCount());
    }
}
