package dev.kumquatweir.gateway.http;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import java.io.ByteArrayOutputStream;

/** Collects a body up to a limit, so that a caller can't fill the memory. Thread-safe. */
public final class BodyCollector {
    private BodyCollector() {}

    /**
     * Collects a body.
     *
     * @param body the parts as they arrive
     * @param limitBytes largest body; a larger one fails with {@link FailureException}
     */
    public static Single<Bytes> collect(Publisher<Buffer> body, long limitBytes) {
        return body.collect(
                        ByteArrayOutputStream::new,
                        (collected, part) -> {
                            append(collected, part, limitBytes);
                            return collected;
                        })
                .map(collected -> Bytes.copyOf(collected.toByteArray()));
    }

    private static void append(ByteArrayOutputStream collected, Buffer part, long limitBytes) {
        int size = part.readableBytes();
        if (collected.size() + (long) size > limitBytes) {
            throw new FailureException(new RequestFailure.BodyTooLarge(limitBytes));
        }
        byte[] bytes = new byte[size];
        part.readBytes(bytes);
        collected.write(bytes, 0, size);
    }
}
