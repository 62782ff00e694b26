package dev.kumquatweir.program.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** One control or entry instance of a fleet, a process of the real binary. */
final class FleetNode implements AutoCloseable {
    private final Path mFolder;
    private final String mName;
    private final String mAddress;
    private final boolean mControl;
    private final int mGraceSeconds;
    private final List<Long> mTerminations = new CopyOnWriteArrayList<>();
    private final List<Long> mCrashes = new CopyOnWriteArrayList<>();
    private LocalProcess mProcess;

    /**
     * Starts the process.
     *
     * @param graceSeconds time that a planned stop may take
     */
    FleetNode(
            Path folder,
            String name,
            String address,
            boolean control,
            int graceSeconds,
            List<String> seeds) {
        mFolder = folder;
        mName = name;
        mAddress = address;
        mControl = control;
        mGraceSeconds = graceSeconds;
        writeSettings(seeds, control);
        mProcess =
                LocalProcess.start(
                        folder.resolve(name + ".log"),
                        List.of("fleet", folder.resolve(name + ".toml").toString()));
    }

    void writeSettings(List<String> seeds, boolean firstStart) {
        String listen =
                mControl
                        ? "control = \"%s:18229\"".formatted(mAddress)
                        : "callers = \"%s:18080\"\nreadiness = \"%s:18081\""
                                .formatted(mAddress, mAddress);
        String data = mControl ? "data_folder = \"%s\"".formatted(mFolder.resolve(mName)) : "";
        String text =
                """
                [instance]
                name = "%s"
                address = "%s"
                failure_domain = "a"
                %s
                [cluster]
                name = "soak"
                key = "key-of-the-stop-soak"
                seeds = "%s"
                peer_port = 17340
                first_start = %b
                [listen]
                metrics = "%s:19180"
                %s
                [limits]
                drain_seconds = %d
                """
                        .formatted(
                                mName,
                                mAddress,
                                data,
                                String.join(",", seeds),
                                firstStart,
                                mAddress,
                                listen,
                                mGraceSeconds);
        try {
            Files.writeString(mFolder.resolve(mName + ".toml"), text);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    InetSocketAddress callers() {
        return new InetSocketAddress(mAddress, 18080);
    }

    URI readiness() {
        return URI.create("http://" + mAddress + ":18081/readiness");
    }

    URI control() {
        return URI.create("http://" + mAddress + ":18229");
    }

    String name() {
        return mName;
    }

    LocalProcess process() {
        return mProcess;
    }

    /** Returns when the process was asked to stop, for each of its planned stops. */
    List<Long> terminations() {
        return mTerminations;
    }

    /** Returns when the process was killed without a planned stop or in the middle of one. */
    List<Long> crashes() {
        return mCrashes;
    }

    void crash(long nowNanos) {
        mCrashes.add(nowNanos);
        mProcess.kill();
    }

    void terminate(long nowNanos) {
        mTerminations.add(nowNanos);
        mProcess.beginTermination();
    }

    @Override
    public void close() {
        mProcess.close();
    }
}
