package dev.kumquatweir.bench;

import java.io.PrintStream;
import java.util.Locale;

/** Prints reports as rows of a table. */
final class BenchTable {
    private final PrintStream mOut;

    BenchTable(PrintStream out) {
        mOut = out;
    }

    /** Prints the names of the columns and what they mean. */
    void header() {
        mOut.println(
                "ttft: ms to first token (<=4k, <=16k p95, <=16k p99), long: multiple of own"
                        + " prefill over 16k p95; gap: ms between tokens p95 (short, all);"
                        + " slow: slowdown of short requests p50, p95, p99; intime: share in time"
                        + " (short, documents); good: kilotokens/s in time; ref: refused;"
                        + " lost: admitted and failed; viol: invariants; recomp: kilotokens");
        mOut.printf(
                Locale.ROOT,
                "%-10s %-10s %-18s %6s %6s %6s %7s %6s %6s %6s %5s %5s %6s %6s %6s %5s %5s %5s"
                        + " %8s%n",
                "user",
                "scenario",
                "policy",
                "t4k95",
                "t16k95",
                "t16k99",
                "long95",
                "gapS",
                "gapA",
                "slow50",
                "sl95",
                "sl99",
                "inS",
                "inDoc",
                "good",
                "ref",
                "lost",
                "viol",
                "recomp");
    }

    /** Prints the figures of one run. */
    void row(Report report) {
        mOut.printf(
                Locale.ROOT,
                "%-10s %-10s %-18s %6.0f %6.0f %6.0f %7.2f %6.1f %6.1f %6.2f %5.2f %5.2f"
                        + " %6.3f %6.3f %6.0f %5d %5d %5d %8d%n",
                report.schedule().deployment().name(),
                report.schedule().name(),
                report.policy(),
                report.firstTokenMillis(Report.length(0, 4_000), 0.95),
                report.firstTokenMillis(Report::fitsBound, 0.95),
                report.firstTokenMillis(Report::fitsBound, 0.99),
                report.firstTokenRatio(Report.length(16_000, Long.MAX_VALUE), 0.95),
                report.gapMillis(Report::isShort, 0.95),
                report.gapMillis(outcome -> true, 0.95),
                report.slowdown(Report::isShort, 0.5),
                report.slowdown(Report::isShort, 0.95),
                report.slowdown(Report::isShort, 0.99),
                report.inTimeShare(Report::isShort),
                report.inTimeShare(Report::isDocument),
                report.goodputTokensPerSecond() / 1_000,
                report.refused(outcome -> true),
                report.lost(outcome -> true),
                report.violations(),
                report.measures().recomputedTokens() / 1_000);
        report.measures()
                .violations()
                .forEach(
                        (invariant, places) ->
                                mOut.println(
                                        "    violated "
                                                + invariant
                                                + " "
                                                + places.size()
                                                + "x, first "
                                                + places.getFirst()));
    }
}
