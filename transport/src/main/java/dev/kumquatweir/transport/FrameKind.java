package dev.kumquatweir.transport;

import io.vavr.control.Option;

/** Kind of a frame. The code on the wire never changes once released. */
enum FrameKind {
    /** Asks for a response under the same correlation. */
    REQUEST(1),
    /** Answers a request. */
    RESPONSE(2),
    /** Expects no answer. */
    ONE_WAY(3),
    /** Asks for a pong. */
    PING(4),
    /** Answers a ping. */
    PONG(5),
    /** First frame of each side: cluster, instance and challenge. */
    HELLO(6),
    /** Second frame of each side: HMAC over both challenges. */
    PROOF(7),
    /** Answers a request that no handler took; the type is a {@link RefusalReason}. */
    REFUSAL(8);

    private static final FrameKind[] KINDS = values();

    private final int mCode;

    FrameKind(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }

    static Option<FrameKind> ofCode(int code) {
        return code >= 1 && code <= KINDS.length ? Option.of(KINDS[code - 1]) : Option.none();
    }
}
