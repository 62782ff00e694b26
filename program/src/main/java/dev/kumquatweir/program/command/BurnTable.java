package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats the burn report as rows of a text table. Stateless. */
final class BurnTable {
    /** Keys of the request counts shown, in column order. */
    static final List<String> COUNT_KEYS =
            List.of("admitted", "in_time", "late", "failed", "lost", "refused");

    /** Keys of the burn rates shown, in column order. */
    static final List<String> RATE_KEYS = List.of("burn_rate", "first_token_burn_rate");

    private static final int MINUTES_IN_HOUR = 60;
    private static final int MINUTES_IN_DAY = 24 * 60;
    private static final double MAX_SHOWN_RATE = 9_999;

    private BurnTable() {}

    /** Returns a header row and one row for each profile and time window. */
    static List<List<String>> rows(JsonNode report) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(
                List.of(
                        "PROFILE",
                        "WINDOW",
                        "ADMITTED",
                        "IN TIME",
                        "LATE",
                        "FAILED",
                        "LOST",
                        "REFUSED",
                        "BURN",
                        "FIRST TOKEN BURN",
                        "STATE"));
        for (JsonNode profile : report.path("profiles")) {
            for (JsonNode window : profile.path("windows")) {
                rows.add(row(profile.path("profile").asText(), window));
            }
        }
        return List.copyOf(rows);
    }

    /** Formats the length of a time window in its largest whole unit, such as {@code 6 h}. */
    static String windowName(int minutes) {
        if (minutes >= MINUTES_IN_DAY) {
            return minutes / MINUTES_IN_DAY + " d";
        }
        return minutes >= MINUTES_IN_HOUR ? minutes / MINUTES_IN_HOUR + " h" : minutes + " min";
    }

    /** Formats a burn rate with two decimals; rates too wide for the column are cut off. */
    static String formatRate(double rate) {
        return rate > MAX_SHOWN_RATE ? ">9999" : String.format(Locale.ROOT, "%.2f", rate);
    }

    private static List<String> row(String profile, JsonNode window) {
        List<String> row = new ArrayList<>();
        row.add(profile);
        row.add(windowName(window.path("minutes").asInt()));
        COUNT_KEYS.forEach(key -> row.add(window.path(key).asText()));
        RATE_KEYS.forEach(key -> row.add(formatRate(window.path(key).asDouble())));
        boolean exceedsBudget = RATE_KEYS.stream().anyMatch(key -> window.path(key).asDouble() > 1);
        row.add(exceedsBudget ? "outside" : "within");
        return row;
    }
}
