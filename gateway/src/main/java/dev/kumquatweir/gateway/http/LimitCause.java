package dev.kumquatweir.gateway.http;

import java.util.Locale;

/** Why a connection is closed by its limits. */
enum LimitCause {
    /** Too many bytes before the end of a head. */
    HEAD_BYTES(431, "Request Header Fields Too Large"),
    /** Too many lines before the end of a head. */
    HEAD_FIELDS(431, "Request Header Fields Too Large"),
    /** Too many bytes or lines of trailers or of the size line of a chunk. */
    TRAILERS(400, "Bad Request"),
    /** Too many bytes of empty lines before a message. */
    EMPTY_LINES(400, "Bad Request"),
    /** A head that is not complete in time. */
    HEAD_TIME(408, "Request Timeout"),
    /** A body of which nothing comes. */
    BODY_STALLED(0, ""),
    /** A response of which nothing is read. */
    RESPONSE_UNREAD(0, ""),
    /** The memory for incomplete heads is used up and this connection has the largest. */
    MEMORY(431, "Request Header Fields Too Large"),
    /** Descriptors run short and this connection carries no request. */
    DESCRIPTORS(0, "");

    private final int mStatus;
    private final String mReason;

    LimitCause(int status, String reason) {
        mStatus = status;
        mReason = reason;
    }

    /** Returns the response for a request whose head is not complete, empty for none. */
    String response() {
        return mStatus == 0
                ? ""
                : "HTTP/1.1 "
                        + mStatus
                        + " "
                        + mReason
                        + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    }

    /** Returns the name in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
