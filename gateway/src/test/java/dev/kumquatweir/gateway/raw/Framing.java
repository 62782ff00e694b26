package dev.kumquatweir.gateway.raw;

import java.util.List;
import java.util.stream.Collectors;

/** The ways in which an HTTP answer says where its body ends. */
public enum Framing {
    /** A Content-Length. */
    LENGTH("HTTP/1.1", ""),
    /** Chunks. */
    CHUNKS("HTTP/1.1", "Transfer-Encoding: chunked\r\n"),
    /** Nothing; the body ends with the connection. */
    NONE("HTTP/1.1", ""),
    /** Nothing, and the head announces the end of the connection. */
    NONE_CLOSE("HTTP/1.1", "Connection: close\r\n"),
    /** Nothing, from an upstream of the older version. */
    NONE_OLD_VERSION("HTTP/1.0", "");

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final String mVersion;
    private final String mHeaders;

    Framing(String version, String headers) {
        mVersion = version;
        mHeaders = headers;
    }

    /** Returns whether the body ends with the connection. */
    public boolean endsWithConnection() {
        return this != LENGTH && this != CHUNKS;
    }

    /**
     * Returns the head of an answer.
     *
     * @param headers further header lines, each with its line end
     */
    public String head(int status, String headers, List<String> parts) {
        int size = parts.stream().mapToInt(String::length).sum();
        String length = this == LENGTH ? "Content-Length: " + size + "\r\n" : "";
        return mVersion + " " + status + " Status\r\n" + headers + mHeaders + length + "\r\n";
    }

    /** Returns the body of an answer; in chunks, each part is one. */
    public String body(List<String> parts) {
        return switch (this) {
            case CHUNKS ->
                    parts.stream()
                            .map(
                                    part ->
                                            Integer.toHexString(part.length())
                                                    + "\r\n"
                                                    + part
                                                    + "\r\n")
                            .collect(Collectors.joining("", "", LAST_CHUNK));
            case LENGTH, NONE, NONE_CLOSE, NONE_OLD_VERSION -> String.join("", parts);
        };
    }

    /** Returns the content of a body of which only the first bytes came. */
    public String content(String body, List<String> parts) {
        if (this != CHUNKS) {
            return body;
        }
        StringBuilder content = new StringBuilder();
        int position = 0;
        for (String part : parts) {
            int start = position + Integer.toHexString(part.length()).length() + 2;
            int end = Math.min(start + part.length(), body.length());
            content.append(start < end ? body.substring(start, end) : "");
            position = start + part.length() + 2;
        }
        return content.toString();
    }
}
