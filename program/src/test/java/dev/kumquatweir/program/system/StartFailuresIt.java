package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts of the real binary that can't go on at once, or not at all. */
final class StartFailuresIt {
    private static final String STARTED = "event=instance_started";
    private static final String WAITING = "event=start_waiting";
    private static final String PLANNED = "previous=PLANNED_STOP";
    private static final String UNPLANNED = "previous=UNPLANNED";

    /** Time within which a process that waits must have ended after SIGTERM. */
    private static final long PROMPT_MILLIS = 3_000;

    private final Path mFolder;
    private final List<StartInstance> mInstances = new ArrayList<>();
    // Addresses of the loopback network, others for each test process.
    private final int mNetwork = (int) (1 + ProcessHandle.current().pid() % 200);

    StartFailuresIt(@TempDir Path folder) {
        mFolder = folder;
    }

    @AfterEach
    void stop() {
        mInstances.forEach(StartInstance::close);
    }

    /** Guards against a restart that ends because the process before has not ended yet. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void folderOfAnotherProcessIsWaitedFor(boolean planned) {
        StartInstance holder = startedInstance();
        StartInstance next = instance(2);
        next.start();
        next.awaitLog(WAITING);
        assertThat(next.log(), containsString("storage_unusable"));
        if (planned) {
            assertThat(holder.process().terminate(), is(0));
        } else {
            holder.process().kill();
        }
        next.awaitLog(STARTED);
        assertThat(next.log(), containsString(planned ? PLANNED : UNPLANNED));
    }

    /** Guards against a process that marks the folder of another one as stopped as planned. */
    @Test
    void stopOfWaitingProcessLeavesNoMarkerInTheFolderOfAnother() {
        StartInstance holder = startedInstance();
        StartInstance next = instance(2);
        next.start();
        next.awaitLog(WAITING);
        assertPromptStop(next);
        holder.process().kill();
        holder.start();
        holder.awaitLog(STARTED);
        assertThat(holder.log(), containsString(UNPLANNED));
    }

    /** Guards against a restart that ends because an address is in use for a while. */
    @ParameterizedTest
    @CsvSource({
        StartInstance.METRICS_PORT + ",listen_metrics",
        StartInstance.PEER_PORT + ",listen_for_peers",
        StartInstance.CONTROL_PORT + ",listen_control"
    })
    void addressInUseIsWaitedFor(int port, String step) throws IOException {
        StartInstance instance = instance(1);
        try (ServerSocket other = listen(port)) {
            instance.start();
            instance.awaitLog(WAITING);
            assertThat(other.isBound(), is(true));
            assertThat(instance.log(), containsString("step=" + step));
        }
        instance.awaitLog(STARTED);
    }

    /** Guards against a process that waits and can be ended by SIGKILL only. */
    @ParameterizedTest
    @ValueSource(
            ints = {
                StartInstance.METRICS_PORT,
                StartInstance.PEER_PORT,
                StartInstance.CONTROL_PORT
            })
    void terminationEndsTheWaiting(int port) throws IOException {
        StartInstance instance = instance(1);
        try (ServerSocket other = listen(port)) {
            instance.start();
            instance.awaitLog(WAITING);
            assertThat(other.isBound(), is(true));
            assertPromptStop(instance);
        }
    }

    /** Guards against a start that fails with the status of a success, or doesn't tell why. */
    @Test
    void damagedFileEndsTheStart() throws IOException {
        StartInstance instance = startedInstance();
        assertThat(instance.process().terminate(), is(0));
        Path file = mFolder.resolve("data").resolve("hard-state");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(10);
        }
        instance.start();
        assertThat(instance.process().awaitEnd(), is(1));
        assertThat(instance.lastLine(), containsString("event=process_ended"));
        assertThat(instance.lastLine(), containsString("hard-state"));
    }

    @Test
    void unreadableSettingsEndTheStart() {
        StartInstance instance = instance(1);
        instance.writeSettings("[instance\nname = ");
        instance.start();
        assertThat(instance.process().awaitEnd(), is(2));
        assertThat(instance.log(), containsString("event=settings_refused"));
    }

    /** Guards against a log that doesn't tell a crash from a planned stop. */
    @Test
    void startLogsHowTheProcessBeforeEnded() {
        StartInstance instance = startedInstance();
        assertThat(instance.log(), containsString("previous=NO_STORE"));
        instance.process().kill();
        instance.start();
        instance.awaitLog(STARTED);
        assertThat(instance.log(), containsString(UNPLANNED));
        assertThat(instance.process().terminate(), is(0));
        instance.start();
        instance.awaitLog(STARTED);
        assertThat(instance.log(), containsString(PLANNED));
        instance.process().kill();
        instance.start();
        instance.awaitLog(STARTED);
        assertThat(instance.log(), containsString(UNPLANNED));
    }

    private void assertPromptStop(StartInstance instance) {
        long startNanos = System.nanoTime();
        assertThat(instance.process().terminate(), is(0));
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(tookMillis, lessThan(PROMPT_MILLIS));
    }

    private StartInstance startedInstance() {
        StartInstance instance = instance(1);
        instance.start();
        instance.awaitLog(STARTED);
        return instance;
    }

    /** Returns an instance with addresses of its own; all instances have the same data folder. */
    private StartInstance instance(int number) {
        StartInstance instance =
                new StartInstance(
                        mFolder,
                        "control-" + number,
                        address(number),
                        mFolder.resolve("data"),
                        true);
        instance.writeSettings(List.of(address(number)), true);
        mInstances.add(instance);
        return instance;
    }

    private ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getByName(address(1)));
    }

    private String address(int number) {
        return "127.80." + mNetwork + "." + number;
    }
}
