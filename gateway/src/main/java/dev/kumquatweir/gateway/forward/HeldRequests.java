package dev.kumquatweir.gateway.forward;

import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Requests that arrived before this instance knew a routing table, as in the second after a restart
 * of the whole fleet. They are held for a short time: a caller that is refused may come back only
 * once, and would be refused again. Confined to the I/O thread, except {@link #size}.
 */
final class HeldRequests {
    /** Callers of streams may leave when nothing arrives for two seconds. */
    private static final long MAXIMUM_HOLD_MILLIS = 1_500;

    /** Share of the remaining time that a caller loses at most before it may try elsewhere. */
    private static final double MAXIMUM_HOLD_SHARE = 0.5;

    private static final int MAXIMUM_REQUESTS = 1_000;
    private static final long MAXIMUM_BYTES = 32L << 20;

    private final Deque<Held> mHeld = new ArrayDeque<>();
    private long mBytes;
    private volatile int mSize;

    private record Held(
            SingleSource.Processor<Boolean, Boolean> result, long bytes, long untilNanos) {}

    /**
     * Returns until when a request may be held.
     *
     * @param remainingMillis time that its caller will wait, empty if unknown
     */
    static long holdUntilNanos(OptionalLong remainingMillis, long arrivedNanos) {
        long shareMillis =
                remainingMillis.isPresent()
                        ? (long) (MAXIMUM_HOLD_SHARE * remainingMillis.getAsLong())
                        : MAXIMUM_HOLD_MILLIS;
        return arrivedNanos
                + TimeUnit.MILLISECONDS.toNanos(Math.min(MAXIMUM_HOLD_MILLIS, shareMillis));
    }

    /**
     * Holds a request.
     *
     * @param bytes memory that it needs
     * @return completes with true once a routing table is known, with false if the request was held
     *     as long as it may be or too many are held
     */
    Single<Boolean> hold(long bytes, long untilNanos) {
        if (mHeld.size() >= MAXIMUM_REQUESTS || mBytes + bytes > MAXIMUM_BYTES) {
            return Single.succeeded(false);
        }
        Held held = new Held(Processors.newSingleProcessor(), bytes, untilNanos);
        mHeld.add(held);
        mBytes += bytes;
        mSize = mHeld.size();
        return SourceAdapters.fromSource(held.result()).whenCancel(() -> remove(held));
    }

    /** Lets requests go on in the order of their arrival, or ends those held long enough. */
    void tick(boolean routed, long nowNanos) {
        List<Held> due =
                new ArrayList<>(
                        mHeld.stream()
                                .filter(held -> routed || nowNanos - held.untilNanos() >= 0)
                                .toList());
        due.forEach(
                held -> {
                    remove(held);
                    held.result().onSuccess(routed);
                });
    }

    /** Returns the number of requests held. May be called from any thread. */
    int size() {
        return mSize;
    }

    private void remove(Held held) {
        if (mHeld.remove(held)) {
            mBytes -= held.bytes();
            mSize = mHeld.size();
        }
    }
}
