package dev.kumquatweir.gateway.http;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import java.io.ByteArrayOutputStream;

/** Reads a body into memory up to a size limit. Holds no state. */
public final class BodyCollector {
    private BodyCollector() {}

    /**
     * Reads a body into memory.
     *
     * @param body parts of the body
     * @param limitBytes maximum size; a larger body fails the returned single with a {@link
     *     FailureException}
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

    /**
     * Reads a body and drops it, so that its connection can be reused.
     *
     * @param limitBytes maximum size; a larger body fails the returned completable with a {@link
     *     FailureException}, which closes the connection
     */
    public static Completable drain(Publisher<Buffer> body, long limitBytes) {
        return body.collect(
                        () -> 0L,
                        (size, part) -> {
                            long sum = size + part.readableBytes();
                            if (sum > limitBytes) {
                                throw new FailureException(
                                        new RequestFailure.BodyTooLarge(limitBytes));
                            }
                            return sum;
                        })
                .ignoreElement();
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
