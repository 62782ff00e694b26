package dev.kumquatweir.program.system;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** What clients outside the limits send. */
enum OffendingPattern {
    /** Header fields without end. */
    HEADER_FIELDS("%s", "X-Filler: " + "f".repeat(98) + "\r\n"),
    /** One header field without end. */
    ONE_FIELD("%sX-Filler: ", "f"),
    /** Empty lines without end before a request. */
    EMPTY_LINES("", "\r\n"),
    /** Trailers without end behind a chunked body. */
    TRAILERS(
            "%sTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
            "X-Filler: " + "f".repeat(98) + "\r\n"),
    /** The extension of a chunk without end. */
    CHUNK_EXTENSION("%sTransfer-Encoding: chunked\r\n\r\n1;x=", "f"),
    /** Requests without end whose responses stay unread. */
    PIPELINED("", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"),
    /** Requests without end with heads of 100 kB each, whose responses stay unread. */
    PIPELINED_LARGE(
            "",
            "GET /metrics HTTP/1.1\r\nHost: a\r\n"
                    + ("X-Filler: " + "f".repeat(238) + "\r\n").repeat(400)
                    + "\r\n");

    private static final int BLOCK_BYTES = 16 << 10;

    private final String mFirst;
    private final String mRepeated;

    OffendingPattern(String first, String repeated) {
        mFirst = first;
        mRepeated = repeated;
    }

    /**
     * Starts clients that send this.
     *
     * @param head request line and header fields of a request without its end
     */
    OffendingClients start(InetSocketAddress address, String head) {
        OffendingClients.Data data = data(head, BLOCK_BYTES);
        return OffendingClients.start(address, bytes(data.first()), bytes(data.repeated()));
    }

    /** Returns what one client sends, in blocks of this many bytes at least. */
    OffendingClients.Data data(String head, int blockBytes) {
        return new OffendingClients.Data(
                mFirst.formatted(head),
                mRepeated.repeat(Math.max(1, blockBytes / mRepeated.length())));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
