package review.common2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, each line with its time. */
public final class Record {
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter sOutput;

    private Record() {}

    /** Opens the file. */
    public static synchronized void open(Path file) throws IOException {
        sOutput = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    /** Returns the milliseconds since the start. */
    public static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    /** Writes a line. */
    public static synchronized void line(String format, Object... values) {
        if (sOutput != null) {
            sOutput.printf(
                    Locale.ROOT,
                    "%8d %s%n",
                    millis(),
                    String.format(Locale.ROOT, format, values));
            sOutput.flush();
        }
    }
}
