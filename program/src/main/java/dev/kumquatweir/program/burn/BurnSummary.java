package dev.kumquatweir.program.burn;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts of one or several instances, summed over windows that end now and over hours. Immutable.
 *
 * @param profiles for each profile the sums by {@link #windowKey} or {@link #hourKey}
 */
public record BurnSummary(SortedMap<String, SortedMap<String, BurnCounts>> profiles) {
    /** Windows in minutes: 5 min, 1 h, 6 h and 3 days. */
    public static final List<Integer> WINDOW_MINUTES =
            List.of(5, 60, 360, BurnCounters.RETENTION_MINUTES);

    /** Nothing was counted. */
    public static final BurnSummary NONE = new BurnSummary(new TreeMap<>());

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MINUTES_IN_HOUR = 60;

    /** Keeps an unmodifiable view; whoever makes the map does not change it afterwards. */
    public BurnSummary {
        profiles = Collections.unmodifiableSortedMap(profiles);
    }

    /** Returns the key of a window's sum. */
    public static String windowKey(int minutes) {
        return "window-" + minutes;
    }

    /** Returns the key of an hour's sum, counted from the epoch. */
    public static String hourKey(long hour) {
        return "hour-" + hour;
    }

    /** Sums up counters as they are now. */
    public static BurnSummary of(BurnCounters counters, long nowMillis) {
        SortedMap<String, SortedMap<String, BurnCounts>> sums = new TreeMap<>();
        for (int window : WINDOW_MINUTES) {
            counters.minutes(window, nowMillis)
                    .forEach(
                            (profile, minutes) ->
                                    minutes.values()
                                            .forEach(
                                                    counts ->
                                                            add(
                                                                    sums,
                                                                    profile,
                                                                    windowKey(window),
                                                                    counts)));
        }
        counters.minutes(BurnCounters.RETENTION_MINUTES, nowMillis)
                .forEach(
                        (profile, minutes) ->
                                minutes.forEach(
                                        (minute, counts) ->
                                                add(
                                                        sums,
                                                        profile,
                                                        hourKey(minute / MINUTES_IN_HOUR),
                                                        counts)));
        return new BurnSummary(sums);
    }

    /** Returns the sum of two summaries. */
    public BurnSummary plus(BurnSummary other) {
        SortedMap<String, SortedMap<String, BurnCounts>> sums = new TreeMap<>();
        for (BurnSummary summary : List.of(this, other)) {
            summary.profiles.forEach(
                    (profile, counts) ->
                            counts.forEach((key, value) -> add(sums, profile, key, value)));
        }
        return new BurnSummary(sums);
    }

    /** Returns one sum. */
    public BurnCounts get(String profile, String key) {
        SortedMap<String, BurnCounts> counts = profiles.get(profile);
        return counts == null ? BurnCounts.NONE : counts.getOrDefault(key, BurnCounts.NONE);
    }

    /** Returns the form in which instances tell each other. */
    public Bytes encode() {
        ObjectNode root = JSON.createObjectNode();
        profiles.forEach(
                (profile, counts) -> {
                    ObjectNode node = root.putObject(profile);
                    counts.forEach(
                            (key, value) -> {
                                ArrayNode array = node.putArray(key);
                                value.values().forEach(array::add);
                            });
                });
        return Bytes.ofText(root.toString());
    }

    /** Reads the form that {@link #encode} writes. */
    public static Either<BurnFailure, BurnSummary> decode(Bytes content) {
        SortedMap<String, SortedMap<String, BurnCounts>> sums = new TreeMap<>();
        try {
            for (Map.Entry<String, JsonNode> profile :
                    JSON.readTree(content.toText()).properties()) {
                for (Map.Entry<String, JsonNode> entry : profile.getValue().properties()) {
                    add(sums, profile.getKey(), entry.getKey(), read(entry.getValue()));
                }
            }
            return Either.right(new BurnSummary(sums));
        } catch (JacksonException exception) {
            return Either.left(new BurnFailure.Damaged("summary", exception.getOriginalMessage()));
        }
    }

    private static BurnCounts read(JsonNode array) {
        List<Long> numbers = new ArrayList<>();
        array.forEach(number -> numbers.add(number.asLong()));
        return new BurnCounts(numbers);
    }

    private static void add(
            SortedMap<String, SortedMap<String, BurnCounts>> sums,
            String profile,
            String key,
            BurnCounts counts) {
        sums.computeIfAbsent(profile, unused -> new TreeMap<>())
                .merge(key, counts, BurnCounts::plus);
    }
}
