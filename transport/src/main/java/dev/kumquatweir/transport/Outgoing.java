package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import org.jspecify.annotations.Nullable;

/**
 * A frame that waits to be written. Compared by identity.
 *
 * @param request the request that the frame carries, or null for other kinds
 */
record Outgoing(
        FrameKind kind,
        long correlation,
        int type,
        Bytes payload,
        @Nullable PendingRequest request) {

    static Outgoing of(FrameKind kind, long correlation, int type, Bytes payload) {
        return new Outgoing(kind, correlation, type, payload, null);
    }

    /** Returns whether nobody waits for the frame any more, so that it need not be sent. */
    boolean abandoned() {
        return request != null && request.ended();
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
