package dev.kumquatweir.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the lines of keys in a TOML text. The parser does not keep them, and a fault without its
 * line is hard to find in a long file. Immutable.
 */
final class LineIndex {
    private static final Pattern ARRAY_HEADER = Pattern.compile("^\\s*\\[\\[\\s*([^\\]]+?)\\s*]]");
    private static final Pattern TABLE_HEADER = Pattern.compile("^\\s*\\[\\s*([^\\]]+?)\\s*]");
    private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.\"-]+)\\s*=");

    private final Map<String, Integer> mLines = new HashMap<>();

    private LineIndex() {}

    static LineIndex of(String text) {
        LineIndex index = new LineIndex();
        Map<String, Integer> arrayLengths = new HashMap<>();
        String table = "";
        List<String> lines = text.lines().toList();
        for (int number = 1; number <= lines.size(); number++) {
            String line = lines.get(number - 1);
            Matcher arrayHeader = ARRAY_HEADER.matcher(line);
            Matcher tableHeader = TABLE_HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            if (arrayHeader.find()) {
                String name = arrayHeader.group(1);
                int position = arrayLengths.merge(name, 1, Integer::sum) - 1;
                table = name + "[" + position + "]";
                index.mLines.putIfAbsent(table, number);
            } else if (tableHeader.find()) {
                table = tableHeader.group(1);
                index.mLines.putIfAbsent(table, number);
            } else if (key.find()) {
                String name = key.group(1).replace("\"", "");
                index.mLines.putIfAbsent(table.isEmpty() ? name : table + "." + name, number);
            }
        }
        return index;
    }

    /** Returns an index without lines, for documents that people did not write. */
    static LineIndex none() {
        return new LineIndex();
    }

    /**
     * Returns the line of the key or of the nearest enclosing table, 0 if neither is in the text.
     */
    int lineOf(String key) {
        String path = key;
        while (!path.isEmpty()) {
            Integer line = mLines.get(path);
            if (line != null) {
                return line;
            }
            int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
            path = end < 0 ? "" : path.substring(0, end);
        }
        return 0;
    }
}
