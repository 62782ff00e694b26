package dev.kumquatweir.program.log;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line that a process wrote to its standard output. Immutable.
 *
 * @param time when it was written, by the clock of that machine
 * @param source what stands before the line's own text, or else the name of the file
 * @param values the pairs of the line in their order, with quotes removed
 */
public record LoggedEvent(Instant time, String source, Map<String, String> values) {
    private static final Pattern PAIR = Pattern.compile("(\\w+)=(\"((?:[^\"\\\\]|\\\\.)*)\"|\\S*)");
    private static final Pattern ESCAPE = Pattern.compile("\\\\(.)");
    private static final String TIME_PREFIX = "time=";

    /**
     * Reads a line; empty if it is not one of an event.
     *
     * @param file name of the file, the source of lines that have nothing before their time
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
            // Other programs' output may have lines with the same beginning.
            return Optional.empty();
        }
    }

    /** Returns the kind of event, empty if the line has none. */
    public String event() {
        return value("event");
    }

    /** Returns the value of a key, empty if there is none. */
    public String value(String key) {
        return values.getOrDefault(key, "");
    }
}
