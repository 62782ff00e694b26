package dev.kumquatweir.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Incremental parser for server-sent events that extracts their data fields. Not thread-safe. */
public final class EventStreamParser {
    /** A longer line violates the protocol. */
    private static final int MAXIMUM_LINE_BYTES = 1024 * 1024;

    private static final String DATA_FIELD = "data:";

    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();

    /**
     * Parses the next part of the stream.
     *
     * @return the data fields whose lines end in this part, in order
     * @throws IllegalStateException if a line is longer than 1 MiB
     */
    public List<String> feed(byte[] part) {
        List<String> events = new ArrayList<>();
        for (byte next : part) {
            if (next == '\n') {
                addDataLine(events, mLine.toString(StandardCharsets.UTF_8));
                mLine.reset();
            } else if (mLine.size() >= MAXIMUM_LINE_BYTES) {
                throw new IllegalStateException("line of an event stream is longer than 1 MiB");
            } else {
                mLine.write(next);
            }
        }
        return events;
    }

    private static void addDataLine(List<String> events, String line) {
        if (line.startsWith(DATA_FIELD)) {
            events.add(line.substring(DATA_FIELD.length()).strip());
        }
    }
}
