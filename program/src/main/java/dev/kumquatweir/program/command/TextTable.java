package dev.kumquatweir.program.command;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Formats rows of text in aligned columns. Stateless. */
final class TextTable {
    private TextTable() {}

    /** Returns one line for each row; all rows must have as many cells as the first. */
    static List<String> lines(List<List<String>> rows) {
        List<Integer> widths =
                IntStream.range(0, rows.get(0).size())
                        .mapToObj(
                                column ->
                                        rows.stream()
                                                .mapToInt(row -> row.get(column).length())
                                                .max()
                                                .orElse(0))
                        .toList();
        return rows.stream()
                .map(
                        row ->
                                IntStream.range(0, row.size())
                                        .mapToObj(
                                                column -> pad(row.get(column), widths.get(column)))
                                        .collect(Collectors.joining("  "))
                                        .stripTrailing())
                .toList();
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
