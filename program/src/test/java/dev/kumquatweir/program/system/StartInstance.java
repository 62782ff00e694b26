package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** An instance of a fleet that is started many times, with the log of each of its lives. */
final class StartInstance implements AutoCloseable {
    static final int METRICS_PORT = 19180;
    static final int PEER_PORT = 17340;
    static final int CONTROL_PORT = 18229;

    private final Path mSettings;
    private final Path mLog;
    private final Path mData;
    private final String mName;
    private final String mAddress;
    private final boolean mControl;
    private @Nullable LocalProcess mProcess;
    private int mLogStart;

    /**
     * @param data data folder, used by control instances only
     */
    StartInstance(Path folder, String name, String address, Path data, boolean control) {
        mSettings = folder.resolve(name + ".toml");
        mLog = folder.resolve(name + ".log");
        mData = data;
        mName = name;
        mAddress = address;
        mControl = control;
    }

    void writeSettings(List<String> seeds, boolean firstStart) {
        String data = mControl ? "data_folder = \"%s\"".formatted(mData) : "";
        String disks = mControl && seeds.size() > 1 ? "lost_disks = 2" : "";
        String listen =
                mControl
                        ? "control = \"%s:%d\"".formatted(mAddress, CONTROL_PORT)
                        : "callers = \"%s:18080\"\nreadiness = \"%s:18081\""
                                .formatted(mAddress, mAddress);
        writeSettings(
                """
                [instance]
                name = "%s"
                address = "%s"
                failure_domain = "a"
                %s
                [cluster]
                name = "starts"
                key = "key-of-the-start-tests"
                seeds = "%s"
                peer_port = %d
                first_start = %b
                %s
                [listen]
                metrics = "%s:%d"
                %s
                [limits]
                drain_seconds = 2
                """
                        .formatted(
                                mName,
                                mAddress,
                                data,
                                String.join(",", seeds),
                                PEER_PORT,
                                firstStart,
                                disks,
                                mAddress,
                                METRICS_PORT,
                                listen));
    }

    void writeSettings(String text) {
        try {
            Files.writeString(mSettings, text);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    void start() {
        LocalProcess process = mProcess;
        if (process == null) {
            mProcess = LocalProcess.start(mLog, List.of("fleet", mSettings.toString()));
        } else {
            mLogStart = process.log().length();
            process.startAgain();
        }
    }

    LocalProcess process() {
        LocalProcess process = mProcess;
        if (process == null) {
            throw new AssertionError("not started: " + mName);
        }
        return process;
    }

    /** Returns what the process has logged since its latest start. */
    String log() {
        return process().log().substring(mLogStart);
    }

    String lastLine() {
        return log().strip().lines().reduce((first, second) -> second).orElse("");
    }

    void awaitLog(String part) {
        Waiting.until(
                mName + " logs " + part,
                () -> {
                    if (!process().alive() && !log().contains(part)) {
                        throw new AssertionError("ended without " + part + ":\n" + log());
                    }
                    return log().contains(part);
                });
    }

    /** Leaves what a loss of power may leave of an unsynced write, after the process has ended. */
    void tearTail(Random random) {
        TornTail.append(mData, random);
    }

    /** Removes the data folder, as the loss of the disk does. */
    void emptyFolder() {
        if (!Files.exists(mData)) {
            return;
        }
        try (Stream<Path> files = Files.walk(mData)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    String name() {
        return mName;
    }

    String address() {
        return mAddress;
    }

    boolean control() {
        return mControl;
    }

    @Override
    public void close() {
        LocalProcess process = mProcess;
        if (process != null && process.alive()) {
            process.kill();
        }
    }
}
