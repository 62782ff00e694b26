package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.IntStream;

/** Processes that do nothing but take processor time from those under test. */
final class BusyProcesses implements AutoCloseable {
    private final List<Process> mProcesses;

    /** Starts that many processes. */
    BusyProcesses(int count) {
        mProcesses = IntStream.range(0, count).mapToObj(number -> start()).toList();
    }

    @Override
    public void close() {
        mProcesses.forEach(Process::destroyForcibly);
    }

    private static Process start() {
        try {
            return new ProcessBuilder("sh", "-c", "while :; do :; done").start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
