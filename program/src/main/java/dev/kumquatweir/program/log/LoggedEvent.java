package dev.kumquatweir.program.log;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One event that a process logged as a line of key-value pairs. Immutable.
 *
 * @param time time of the event, by the clock of the machine that logged it
 * @param source word in front of the pairs, or the file name if there is none
 * @param values key-value pairs in the order of the line, unquoted
 */
public record LoggedEvent(Instant time, String source, Map<String, String> values) {
    private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"((?:[^\"\\\\]|\\\\.)*)\"|\\S*)");
    private static final Pattern ESCAPE = Pattern.compile("\\\\(.)");
    private static final String TIME_PREFIX = "time=";

    /**
     * Parses a line; empty if the line is not an event.
     *
     * @param file name of the file, used as source of lines that have no prefix
     */
    public static Optional<LoggedEvent> parse(String file, String line) {
        int start = line.indexOf(TIME_PREFIX);
        if (start < 0) {
            return Optional.empty();
        }
        Map<String, String> values = new LinkedHashMap<>();
        Matcher pairs = PAIR.matcher(line);
        pairs.region(start, line.length());
        while (pairs.find()) {
            String quoted = pairs.group(3);
            String value =
                    quoted == null ? pairs.group(2) : ESCAPE.matcher(quoted).replaceAll("$1");
            values.put(pairs.group(1), value);
        }
        String prefix = line.substring(0, start).strip();
        String source = prefix.substring(prefix.lastIndexOf(' ') + 1);
        try {
            Instant time = Instant.parse(values.getOrDefault("time", ""));
            return Optional.of(new LoggedEvent(time, source.isEmpty() ? file : source, values));
        } catch (DateTimeParseException notAnEvent) {
            // Output of other programs may contain "time=" as well.
            return Optional.empty();
        }
    }

    /** Returns the name of the event, or an empty text if the line has none. */
    public String event() {
        return value("event");
    }

    /** Returns the value of a key, or an empty text if the line does not have the key. */
    public String value(String key) {
        return values.getOrDefault(key, "");
    }
}
