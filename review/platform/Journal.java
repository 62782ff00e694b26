package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with milliseconds since the start. Thread-safe. */
final class Journal implements AutoCloseable {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mWriter;

    Journal(Path file) {
        try {
            mWriter = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns the milliseconds since the start. */
    long nowMillis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void add(String text) {
        mWriter.printf(Locale.ROOT, "%7d %s%n", nowMillis(), text);
        mWriter.flush();
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
