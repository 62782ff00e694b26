package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;

/**
 * One unit of the protocol between our processes.
 *
 * @param epoch random number of the connection; a frame of another epoch is malformed
 * @param kind what the frame is for
 * @param correlation pairs an answer with its request; unique within the epoch
 * @param type chooses the handler; meaningful for requests and one-way frames
 * @param payload bytes that only the handler understands
 */
record Frame(long epoch, FrameKind kind, long correlation, int type, Bytes payload) {
    /** Version of the frame format and the handshake. */
    static final int VERSION = 1;

    /** Size of the length before each frame. */
    static final int LENGTH_BYTES = 4;

    /** Largest MessagePack encoding of everything but the payload's bytes. */
    static final int OVERHEAD_BYTES = 40;
}
