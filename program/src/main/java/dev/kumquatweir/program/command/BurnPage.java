package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.Locale;

/** Renders the burn report as one self-contained HTML page. Stateless. */
final class BurnPage {
    private static final int PLOT_WIDTH_PIXELS = 720;
    private static final int PLOT_HEIGHT_PIXELS = 120;
    private static final double MIN_AXIS_MAXIMUM = 2;

    private BurnPage() {}

    /** Returns the HTML page for a report in the JSON form of the operator API. */
    static String of(JsonNode report) {
        StringBuilder page = new StringBuilder();
        page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
                .append("<title>kumquatweir burn report</title><style>")
                .append("body{font-family:sans-serif;max-width:60em;margin:2em auto;color:#222}")
                .append("table{border-collapse:collapse;margin:.5em 0}")
                .append("td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}")
                .append("svg{background:#f6f6f6}.bad{background:#fbd5d0}</style></head><body>")
                .append("<h1>Burn report</h1><p>At ")
                .append(Instant.ofEpochMilli(report.path("now_ms").asLong()))
                .append(". A burn rate of 1 uses up the error budget of the objective; above 1")
                .append(" the profile misses its objective.</p>");
        if (!report.path("missing_instances").isEmpty()) {
            page.append("<p class=\"bad\">The counts do not include ")
                    .append(escape(report.path("missing_instances").toString()))
                    .append(".</p>");
        }
        report.path("profiles").forEach(profile -> appendProfile(page, profile));
        return page.append("</body></html>\n").toString();
    }

    private static void appendProfile(StringBuilder page, JsonNode profile) {
        page.append("<h2>")
                .append(escape(profile.path("profile").asText()))
                .append("</h2><p>Objective: ")
                .append(profile.path("in_time_share").asDouble() * 100)
                .append("% in time</p><table><tr><th>window</th><th>admitted</th><th>in time</th>")
                .append("<th>late</th><th>failed</th><th>lost</th><th>refused</th>")
                .append("<th>burn rate</th><th>first token burn rate</th></tr>");
        profile.path("windows").forEach(window -> appendRow(page, window));
        page.append("</table>");
        appendPlot(page, profile.path("hours"));
    }

    private static void appendRow(StringBuilder page, JsonNode window) {
        page.append("<tr><td>")
                .append(BurnTable.windowName(window.path("minutes").asInt()))
                .append("</td>");
        for (String key : BurnTable.COUNT_KEYS) {
            page.append("<td>").append(window.path(key).asLong()).append("</td>");
        }
        for (String key : BurnTable.RATE_KEYS) {
            double rate = window.path(key).asDouble();
            page.append(rate > 1 ? "<td class=\"bad\">" : "<td>")
                    .append(BurnTable.formatRate(rate))
                    .append("</td>");
        }
        page.append("</tr>");
    }

    /** Plots the burn rate by hour, with a dashed line at 1, where the budget is just used up. */
    private static void appendPlot(StringBuilder page, JsonNode hours) {
        double axisMaximum = MIN_AXIS_MAXIMUM;
        for (JsonNode hour : hours) {
            axisMaximum = Math.max(axisMaximum, hour.path("burn_rate").asDouble());
        }
        double hourWidth = (double) PLOT_WIDTH_PIXELS / Math.max(1, hours.size());
        page.append("<svg role=\"img\" aria-label=\"burn rate by hour\" width=\"")
                .append(PLOT_WIDTH_PIXELS)
                .append("\" height=\"")
                .append(PLOT_HEIGHT_PIXELS)
                .append("\">");
        for (int index = 0; index < hours.size(); index++) {
            double rate = hours.get(index).path("burn_rate").asDouble();
            double height = rate / axisMaximum * PLOT_HEIGHT_PIXELS;
            page.append(
                    String.format(
                            Locale.ROOT,
                            "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' fill='%s'/>",
                            index * hourWidth,
                            PLOT_HEIGHT_PIXELS - height,
                            hourWidth - 1,
                            height,
                            rate > 1 ? "#c0392b" : "#2c7fb8"));
        }
        double budgetLineY = PLOT_HEIGHT_PIXELS - PLOT_HEIGHT_PIXELS / axisMaximum;
        page.append(
                        String.format(
                                Locale.ROOT,
                                "<path d=\"M0 %.1fH%d\" stroke=\"#555\" stroke-dasharray=\"4\"/>",
                                budgetLineY,
                                PLOT_WIDTH_PIXELS))
                .append("</svg><p>Burn rate by hour over the last 72 hours, newest at the right;")
                .append(" the dashed line is 1.</p>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
