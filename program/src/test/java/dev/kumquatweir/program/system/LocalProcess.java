package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the program under test, with its log in a file. */
final class LocalProcess implements AutoCloseable {
    private static final long STOP_LIMIT_SECONDS = 60;

    private final List<String> mCommand;
    private final Path mLog;
    private Process mProcess;

    private LocalProcess(List<String> command, Path log, Process process) {
        mCommand = command;
        mLog = log;
        mProcess = process;
    }

    static LocalProcess start(Path log, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("kumquatweir.executable"));
        command.addAll(arguments);
        return new LocalProcess(command, log, launch(command, log));
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

    void freeze() {
        signal("STOP");
    }

    void thaw() {
        signal("CONT");
    }

    /** Tells the process that its settings file has changed. */
    void hangUp() {
        signal("HUP");
    }

    void startAgain() {
        mProcess = launch(mCommand, mLog);
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
            mProcess.destroyForcibly();
        }
    }

    private void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        } catch (IOException | InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private static Process launch(List<String> command, Path log) {
        try {
            return new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
