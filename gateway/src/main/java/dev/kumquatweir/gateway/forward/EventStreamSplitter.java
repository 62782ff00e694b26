package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Splits the bytes of a server-sent event stream into whole events, so that a partial event of an
 * upstream that failed is never forwarded. The bytes of each event stay unchanged. Not thread-safe.
 */
final class EventStreamSplitter {
    /** A longer event violates the protocol. */
    private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private final StringBuilder mLine = new StringBuilder();
    private long mEventId = NO_ID;
    private boolean mLimitExceeded;

    static final long NO_ID = -1;

    /**
     * A whole event.
     *
     * @param id its numeric id, {@link #NO_ID} if it has none
     * @param content its bytes including the empty line that ends it
     */
    record Event(long id, Bytes content) {}

    /** Consumes the next bytes and returns the events that they complete, in order. */
    List<Event> feed(byte[] part) {
        List<Event> events = new ArrayList<>();
        for (byte next : part) {
            mEvent.write(next);
            if (next != '\n') {
                mLine.append((char) (next & 0xff));
            } else {
                endLine(events);
            }
        }
        mLimitExceeded = mLimitExceeded || mEvent.size() > MAXIMUM_EVENT_BYTES;
        return events;
    }

    /** Returns whether an event exceeded the maximum size; stays true from then on. */
    boolean limitExceeded() {
        return mLimitExceeded;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return mEvent.size() > 0;
    }

    private void endLine(List<Event> events) {
        String line = mLine.toString().strip();
        mLine.setLength(0);
        if (!line.isEmpty()) {
            readId(line);
            return;
        }
        events.add(new Event(mEventId, Bytes.copyOf(mEvent.toByteArray())));
        mEvent.reset();
        mEventId = NO_ID;
    }

    private void readId(String line) {
        if (!line.toLowerCase(Locale.ROOT).startsWith(ID_FIELD)) {
            return;
        }
        byte[] digits =
                line.substring(ID_FIELD.length()).strip().getBytes(StandardCharsets.US_ASCII);
        long id = digits.length == 0 || digits.length > 18 ? NO_ID : 0;
        for (byte digit : digits) {
            boolean number = digit >= '0' && digit <= '9';
            if (id == NO_ID || !number) {
                id = NO_ID;
                break;
            }
            id = id * 10 + (digit - '0');
        }
        mEventId = id;
    }
}
