package dev.kumquatweir.gateway.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.failure.RequestFailure;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

/** Guards against bodies that are held beyond the memory they share. */
final class BodyCollectorTest {
    private static final int BODY_BYTES = 100 << 10;

    private final BodyMemory mMemory = new BodyMemory(BODY_BYTES + 1);

    @Test
    void bodyBeyondTheSharedMemoryIsRefusedForNow() throws Exception {
        assertThat(collect(), is(BODY_BYTES));
        ExecutionException exception = assertThrows(ExecutionException.class, this::collect);
        Throwable cause = Objects.requireNonNull(exception.getCause());
        assertThat(cause, instanceOf(FailureException.class));
        assertThat(
                ((FailureException) cause).failure(), is(new RequestFailure.BodyMemoryFull(500)));
        assertThat(mMemory.usedBytes(), is((long) BODY_BYTES));
        mMemory.release(BODY_BYTES);
        assertThat(collect(), is(BODY_BYTES));
    }

    /** The refusal of a request with a key doesn't say that no request with the key has run. */
    @Test
    void refusalIsTemporaryAndClaimsNothingForKeys() {
        RequestFailure full = new RequestFailure.BodyMemoryFull(500);
        assertThat(ErrorResponse.status(full), is(503));
        assertThat(ErrorResponse.retryAfterMillis(full), is(OptionalLong.of(500)));
        assertThat(full.executed(), is(Executed.NO));
        RequestFailure withKey = new RequestFailure.RefusedBeforeClaim(full);
        assertThat(ErrorResponse.status(withKey), is(503));
        assertThat(ErrorResponse.retryAfterMillis(withKey), is(OptionalLong.of(500)));
        assertThat(withKey.executed(), is(Executed.UNKNOWN));
    }

    private int collect() throws ExecutionException, InterruptedException {
        Buffer body = BufferAllocators.DEFAULT_ALLOCATOR.wrap(new byte[BODY_BYTES]);
        return BodyCollector.collect(Publisher.from(body), BODY_BYTES, mMemory)
                .toFuture()
                .get()
                .size();
    }
}
