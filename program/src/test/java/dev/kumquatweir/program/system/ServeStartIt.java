package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts of an instance with a fixed list of peers that can't go on at once. */
final class ServeStartIt {
    private static final int CALLER_PORT = 18101;
    private static final int PEER_PORT = 18104;

    private final Path mFolder;
    private final String mAddress = "127.81." + (1 + ProcessHandle.current().pid() % 200) + ".1";

    ServeStartIt(@TempDir Path folder) {
        mFolder = folder;
    }

    /** Guards against a restart that ends because an address is in use for a while. */
    @ParameterizedTest
    @ValueSource(ints = {CALLER_PORT, PEER_PORT})
    void addressInUseIsWaitedFor(int port) throws IOException {
        try (ServerSocket other = listen(port);
                LocalProcess process = launch()) {
            awaitLog(process, "event=start_waiting");
            other.close();
            awaitLog(process, "event=instance_started");
        }
    }

    /** Guards against the status of a signal after SIGTERM to a start that waits. */
    @Test
    void terminationEndsTheWaiting() throws IOException {
        try (ServerSocket other = listen(CALLER_PORT);
                LocalProcess process = launch()) {
            awaitLog(process, "event=start_waiting");
            assertThat(other.isBound(), is(true));
            assertThat(process.terminate(), is(0));
        }
    }

    /**
     * Guards against a known team that is refused for good, and told that its action did not run,
     * by an instance that has not received the configuration since its start.
     */
    @Test
    void teamsAreNotRejectedBeforeTheConfigurationIsReceived() {
        try (LocalCluster cluster = LocalCluster.start(mFolder)) {
            IntStream.range(0, LocalCluster.INSTANCES)
                    .forEach(number -> cluster.instance(number).kill());
            cluster.instance(0).startAgain();
            Waiting.until(
                    "the instance listens",
                    () -> Caller.status(cluster.url(0) + "/health/live") == 200);
            Caller.Answer question = Caller.complete(cluster.url(0), "quick", "ready?", 1);
            assertThat(question.toString(), question.status(), is(503));
            assertThat(question.type(), is("no_configuration_lease"));
            assertThat(question.ran(), is("no"));
            Caller.Answer action = Caller.post(cluster.holdUrl(0), "key-1", "{}");
            assertThat(action.toString(), action.status(), is(503));
            assertThat(action.type(), is("no_configuration_lease"));
            assertThat(action.ran(), is("unknown"));
        }
    }

    private static void awaitLog(LocalProcess process, String part) {
        Waiting.until(
                part,
                () -> {
                    boolean alive = process.alive();
                    boolean logged = process.log().contains(part);
                    if (!alive && !logged) {
                        throw new AssertionError("ended:\n" + process.log());
                    }
                    return logged;
                });
    }

    private ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getByName(mAddress));
    }

    private LocalProcess launch() throws IOException {
        Path settings = mFolder.resolve("entry-1.toml");
        Files.writeString(
                settings,
                """
                [instance]
                id = "entry-1"
                failure_domain = "a"
                data_folder = "data"
                [listen]
                caller = "%1$s:%2$d"
                upstream = "%1$s:18102"
                operator = "%1$s:18103"
                [cluster]
                name = "test"
                key = "cluster-key-of-the-test"
                announce_key = "announce-key-of-the-test"
                [[cluster.instances]]
                id = "entry-1"
                address = "%1$s:%3$d"
                failure_domain = "a"
                voter = true
                """
                        .formatted(mAddress, CALLER_PORT, PEER_PORT));
        return LocalProcess.start(
                mFolder.resolve("entry-1.log"), List.of("serve", settings.toString()));
    }
}
