package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One process of the program under test, with its log in a file. */
final class LocalProcess implements AutoCloseable {
    private static final long STOP_LIMIT_SECONDS = 60;

    private final List<String> mCommand;
    private final Map<String, String> mEnvironment;
    private final Path mLog;
    private Process mProcess;

    private LocalProcess(
            List<String> command, Map<String, String> environment, Path log, Process process) {
        mCommand = command;
        mEnvironment = environment;
        mLog = log;
        mProcess = process;
    }

    static LocalProcess start(Path log, List<String> arguments) {
        return start(log, arguments, Map.of());
    }

    /**
     * @param environment variables that the process gets besides those of the test
     */
    static LocalProcess start(Path log, List<String> arguments, Map<String, String> environment) {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("kumquatweir.executable"));
        command.addAll(arguments);
        return new LocalProcess(command, environment, log, launch(command, environment, log));
    }

    /**
     * Starts a process that may open so many descriptors.
     *
     * @param environment variables that the process gets besides those of the test
     */
    static LocalProcess startWithDescriptors(
            Path log, List<String> arguments, Map<String, String> environment, int descriptors) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "/bin/sh",
                                "-c",
                                "ulimit -n " + descriptors + "; exec \"$0\" \"$@\""));
        command.add(System.getProperty("kumquatweir.executable"));
        command.addAll(arguments);
        return new LocalProcess(command, environment, log, launch(command, environment, log));
    }

    boolean alive() {
        return mProcess.isAlive();
    }

    /** Ends the process at once, as a crash of the machine would. */
    void kill() {
        mProcess.destroyForcibly();
        awaitEnd();
    }

    /** Asks the process to stop and returns its exit status. */
    int terminate() {
        mProcess.destroy();
        return awaitEnd();
    }

    /** Asks the process to stop without waiting for it. */
    void beginTermination() {
        mProcess.destroy();
    }

    int awaitEnd() {
        try {
            if (!mProcess.waitFor(STOP_LIMIT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("still running: " + mCommand);
            }
            return mProcess.exitValue();
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    /** Stops all threads of the process. */
    void freeze() {
        signal("STOP");
        // The signal returns before a thread that runs in the kernel has stopped.
        Waiting.until("all threads are stopped", this::frozen);
    }

    private boolean frozen() {
        try (Stream<Path> threads = Files.list(processFolder().resolve("task"))) {
            return threads.allMatch(thread -> state(thread) == 'T');
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns the state of a thread; its name, in brackets before it, may hold any character. */
    private static char state(Path thread) {
        try {
            String status = Files.readString(thread.resolve("stat"));
            return status.charAt(status.lastIndexOf(')') + 2);
        } catch (NoSuchFileException exception) {
            // The thread has ended since the threads were listed.
            return 'X';
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    void thaw() {
        signal("CONT");
    }

    /** Tells the process that its settings file has changed. */
    void hangUp() {
        signal("HUP");
    }

    void startAgain() {
        mProcess = launch(mCommand, mEnvironment, mLog);
    }

    /** Returns the most memory that the process has used at once, in bytes. */
    long peakMemoryBytes() {
        try (Stream<String> lines = Files.lines(processFolder().resolve("status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) << 10)
                    .findFirst()
                    .orElseThrow();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    long openDescriptors() {
        try (Stream<Path> descriptors = Files.list(processFolder().resolve("fd"))) {
            return descriptors.count();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private Path processFolder() {
        return Path.of("/proc", Long.toString(mProcess.pid()));
    }

    String log() {
        try {
            return Files.readString(mLog);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    @Override
    public void close() {
        if (mProcess.isAlive()) {
            // Waits for the end, since the next process may listen on the same addresses.
            kill();
        }
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (IOException | InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private static Process launch(List<String> command, Map<String, String> environment, Path log) {
        try {
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().putAll(environment);
            return builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
