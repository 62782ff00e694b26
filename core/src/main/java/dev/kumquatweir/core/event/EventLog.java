package dev.kumquatweir.core.event;

import dev.kumquatweir.core.failure.Failure;
import java.util.Objects;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Structured logger: writes each event as one line of key=value pairs. Values with spaces, quotes,
 * equals signs or control characters are quoted, so that every line can be parsed. Thread-safe.
 */
public final class EventLog {
    private final Logger mLogger;

    private EventLog(Logger logger) {
        mLogger = logger;
    }

    /** Returns the log of a class, named after the class. */
    public static EventLog of(Class<?> source) {
        return new EventLog(Logger.getLogger(source));
    }

    /**
     * Logs an event of normal operation.
     *
     * @param event name of the event, lower case with underscores
     * @param pairs alternating keys and values
     */
    public void info(String event, @Nullable Object... pairs) {
        if (mLogger.isInfoEnabled()) {
            mLogger.info(line(event, pairs));
        }
    }

    /** Logs a warning: an event that operators may have to act on. */
    public void warn(String event, @Nullable Object... pairs) {
        mLogger.warn(line(event, pairs));
    }

    /** Logs a typed failure as a warning, with its code and message. */
    public void failure(String event, Failure failure, @Nullable Object... pairs) {
        mLogger.warn(
                line(event, pairs)
                        + " code="
                        + failure.code()
                        + " message="
                        + quote(failure.message()));
    }

    /** Logs an unexpected exception as an error, with its stack trace. */
    public void error(String event, Throwable cause, @Nullable Object... pairs) {
        mLogger.error(line(event, pairs), cause);
    }

    /** Logs an event for debugging. */
    public void debug(String event, @Nullable Object... pairs) {
        if (mLogger.isDebugEnabled()) {
            mLogger.debug(line(event, pairs));
        }
    }

    static String line(String event, @Nullable Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int index = 0; index + 1 < pairs.length; index += 2) {
            line.append(' ').append(pairs[index]).append('=');
            line.append(quote(Objects.toString(pairs[index + 1])));
        }
        return line.toString();
    }

    private static String quote(String value) {
        boolean plain =
                !value.isEmpty()
                        && value.chars()
                                .allMatch(
                                        character ->
                                                character > ' '
                                                        && character != '"'
                                                        && character != '='
                                                        && character != 127);
        if (plain) {
            return value;
        }
        StringBuilder quoted = new StringBuilder("\"");
        value.chars().forEach(character -> appendEscaped(quoted, (char) character));
        return quoted.append('"').toString();
    }

    private static void appendEscaped(StringBuilder quoted, char character) {
        if (character == '"' || character == '\\') {
            quoted.append('\\').append(character);
        } else if (character < ' ' || character == 127) {
            quoted.append(String.format("\\u%04x", (int) character));
        } else {
            quoted.append(character);
        }
    }
}
