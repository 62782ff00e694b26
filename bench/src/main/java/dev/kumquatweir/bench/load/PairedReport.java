package dev.kumquatweir.bench.load;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Result of a {@link PairedRunner}. Immutable.
 *
 * @param streams answers that streamed at any time
 * @param through calls through the instances
 * @param direct calls to the engines
 * @param differenceNanos time of the whole answer through an instance less that of its pair, sorted
 */
public record PairedReport(
        int streams, LoadReport through, LoadReport direct, List<Long> differenceNanos) {
    private static final double MICROS_PER_MILLI = 1e3;

    /** Copies the list, so that the record is immutable. */
    public PairedReport {
        differenceNanos = List.copyOf(differenceNanos);
    }

    /** Returns one line of key=value pairs for each side and one for the differences. */
    public List<String> lines() {
        return List.of(
                side("through", through),
                side("direct", direct),
                "paired streams=%d pairs=%d difference_p50_ms=%.2f difference_p95_ms=%.2f"
                        .formatted(
                                streams, differenceNanos.size(), percentile(50), percentile(95)));
    }

    /** Returns 0 if every answer on both sides was whole, else 1. */
    public int exitStatus() {
        boolean whole =
                through.completed() == through.chats() && direct.completed() == direct.chats();
        return whole ? 0 : 1;
    }

    private static String side(String name, LoadReport report) {
        return "paired side=%s chats=%d completed=%d first_token %s"
                        .formatted(
                                name,
                                report.chats(),
                                report.completed(),
                                report.classes().getFirst().firstToken().text("_ms"))
                + " between_tokens "
                + report.betweenTokens().text("_ms");
    }

    private double percentile(int percent) {
        if (differenceNanos.isEmpty()) {
            return 0;
        }
        int index = Math.min(differenceNanos.size() - 1, differenceNanos.size() * percent / 100);
        return TimeUnit.NANOSECONDS.toMicros(differenceNanos.get(index)) / MICROS_PER_MILLI;
    }
}
