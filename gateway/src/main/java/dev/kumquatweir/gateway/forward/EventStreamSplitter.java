package dev.kumquatweir.gateway.forward;

import dev.kumquatweir.core.bytes.Bytes;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Splits the bytes of a server-sent event stream into whole events, so that a partial event of an
 * upstream that failed is never forwarded, nor a body that is no event stream. The bytes of each
 * event stay unchanged. Not thread-safe.
 */
final class EventStreamSplitter {
    /** A longer event violates the protocol. */
    private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    /** Byte order mark, which may precede the first line. */
    private static final String BYTE_ORDER_MARK = "\u00ef\u00bb\u00bf";

    /** Name of a field that the standard doesn't name. A header of HTTP mostly has capitals. */
    private static final Pattern ADDITIONAL_FIELD = Pattern.compile("[a-z][a-z0-9_-]*");

    private final ByteArrayOutputStream mEvent = new ByteArrayOutputStream();
    private final StringBuilder mLine = new StringBuilder();
    private long mEventId = NO_ID;
    private boolean mHasData;
    private boolean mHasAdditionalField;
    private boolean mFirstLine = true;
    private boolean mMalformed;

    static final long NO_ID = -1;

    /**
     * A whole event.
     *
     * @param id its numeric id, {@link #NO_ID} if it has none
     * @param hasData whether it has a data field
     * @param content its bytes including the empty line that ends it
     */
    record Event(long id, boolean hasData, Bytes content) {}

    /**
     * Consumes the next bytes and returns the events that they complete, in order. Returns no event
     * from the first violation of the protocol on.
     */
    List<Event> feed(byte[] part) {
        List<Event> events = new ArrayList<>();
        for (byte next : part) {
            if (mMalformed) {
                break;
            }
            mEvent.write(next);
            if (next != '\n') {
                mLine.append((char) (next & 0xff));
            } else {
                endLine(events);
            }
        }
        mMalformed = mMalformed || mEvent.size() > MAXIMUM_EVENT_BYTES;
        return events;
    }

    /**
     * Returns whether an event exceeded the maximum size or a line is no field of an event; stays
     * true from then on.
     */
    boolean malformed() {
        return mMalformed;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return mEvent.size() > 0;
    }

    private void endLine(List<Event> events) {
        String line = mLine.toString().strip();
        mLine.setLength(0);
        if (mFirstLine && line.startsWith(BYTE_ORDER_MARK)) {
            line = line.substring(BYTE_ORDER_MARK.length());
        }
        mFirstLine = false;
        if (!line.isEmpty()) {
            readField(line);
            return;
        }
        if (mHasAdditionalField && !mHasData && mEventId == NO_ID) {
            // An additional field alone is no event, but may be the text of an error.
            mMalformed = true;
            return;
        }
        events.add(new Event(mEventId, mHasData, Bytes.copyOf(mEvent.toByteArray())));
        mEvent.reset();
        mEventId = NO_ID;
        mHasData = false;
        mHasAdditionalField = false;
    }

    private void readField(String line) {
        int colon = line.indexOf(':');
        String name = colon < 0 ? line : line.substring(0, colon);
        switch (name.toLowerCase(Locale.ROOT)) {
            case "", "event", "retry" -> {}
            case "data" -> mHasData = true;
            case "id" -> readId(colon < 0 ? "" : line.substring(colon + 1));
            // Readers ignore fields that they don't know; upstreams add some of their own.
            default -> {
                mHasAdditionalField = true;
                mMalformed = colon < 0 || !ADDITIONAL_FIELD.matcher(name).matches();
            }
        }
    }

    private void readId(String value) {
        byte[] digits = value.strip().getBytes(StandardCharsets.US_ASCII);
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
