package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.platform.ControlService;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Control instances that find each other from seeds, each a process of the real binary. */
final class FleetIt {
    private static final int INSTANCES = 5;
    private static final int SEEDS = 3;
    private static final long SEED = 20_261_204L;

    @TempDir private Path mFolder;

    private final List<LocalProcess> mProcesses = new ArrayList<>();
    private final HttpClient mClient =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    // Addresses of the loopback network, others for each test process.
    private final int mNetwork = (int) (1 + ProcessHandle.current().pid() % 200);

    @AfterEach
    void stop() {
        mProcesses.forEach(LocalProcess::close);
    }

    /**
     * Guards against a group that forgets a confirmed configuration when as many disks as it may
     * lose are emptied at once, and against seeds that found a group only in a certain order.
     */
    @Test
    void confirmedConfigurationSurvivesTheLossOfTwoDisks() throws IOException {
        List<Integer> order = new ArrayList<>(IntStream.range(0, INSTANCES).boxed().toList());
        Collections.shuffle(order, new Random(SEED));
        LocalProcess[] started = new LocalProcess[INSTANCES];
        for (int number : order) {
            writeSettings(number, true);
            started[number] = launch(number);
            mProcesses.add(started[number]);
        }
        put(7, 0);
        awaitVoters();
        put(9, 1);
        for (int number : List.of(0, 3)) {
            started[number].kill();
            empty(folder(number));
            writeSettings(number, false);
            started[number].startAgain();
        }
        Waiting.until("version 9 is read back", () -> read(4).contains("\"version\":9"));
        assertThat(read(4), containsString("\"version\":9"));
        awaitVoters();
        assertThat(putOnce(8, 2), is(200));
        assertThat(read(1), containsString("\"version\":9"));
    }

    /**
     * Guards against starts that end for good at what a loss of power left of an unsynced write,
     * and a group that has no quorum as it happened to most of its members.
     */
    @Test
    void confirmedConfigurationIsReadBackThoughUnsyncedWritesAreTorn() throws IOException {
        for (int number = 0; number < INSTANCES; number++) {
            writeSettings(number, true);
            mProcesses.add(launch(number));
        }
        put(7, 0);
        awaitVoters();
        put(9, 1);
        mProcesses.forEach(LocalProcess::kill);
        for (int number : List.of(0, 1, 3)) {
            TornTail.append(folder(number), new Random(number));
        }
        for (int number = 0; number < INSTANCES; number++) {
            writeSettings(number, false);
            mProcesses.get(number).startAgain();
        }
        Waiting.until("version 9 is read back", () -> read(4).contains("\"version\":9"));
        put(11, 0);
        assertThat(mProcesses.stream().allMatch(LocalProcess::alive), is(true));
        assertThat(mProcesses.getFirst().log(), containsString("event=log_tail_removed"));
    }

    /**
     * Guards against a system that never starts since the first seed ended in its first start: it
     * is started again as one that joins a group, which nobody has created.
     */
    @Test
    void groupIsCreatedThoughTheFirstSeedWasStartedAgain() throws IOException {
        for (int number = 0; number < INSTANCES; number++) {
            writeSettings(number, number > 0);
            mProcesses.add(launch(number));
        }
        put(7, 1);
        awaitVoters();
        assertThat(read(0), containsString("\"version\":7"));
    }

    /**
     * Guards against versions of the past that are in use again while restarted control instances
     * apply their logs: such a version may hold a key or a route that was withdrawn.
     */
    @Test
    void restartOfAllInstancesUsesTheNewestConfigurationOnly() throws IOException {
        LocalProcess[] started = new LocalProcess[INSTANCES];
        for (int number = 0; number < INSTANCES; number++) {
            writeSettings(number, true);
            started[number] = launch(number);
            mProcesses.add(started[number]);
        }
        put(3, 0);
        awaitVoters();
        IntStream.of(5, 8, 11).forEach(version -> put(version, version % INSTANCES));
        mProcesses.forEach(LocalProcess::kill);
        List<Integer> linesBefore =
                mProcesses.stream().map(process -> usedVersions(process).size()).toList();
        for (int number = 0; number < INSTANCES; number++) {
            writeSettings(number, false);
            started[number].startAgain();
        }
        Waiting.until(
                "all instances use version 11 again",
                () ->
                        IntStream.range(0, INSTANCES)
                                .allMatch(
                                        number ->
                                                usedVersions(started[number]).size()
                                                        > linesBefore.get(number)));
        IntStream.range(0, INSTANCES)
                .forEach(
                        number ->
                                assertThat(
                                        usedVersions(started[number])
                                                .subList(
                                                        linesBefore.get(number),
                                                        usedVersions(started[number]).size()),
                                        everyItem(equalTo("version=11"))));
    }

    /**
     * Guards against a new leader that knows no upstream for as long as upstreams take to try
     * again: a heartbeat that comes while there is no leader is kept, but not confirmed.
     */
    @Test
    void heartbeatWithoutLeaderIsKeptButNotConfirmed() throws IOException {
        for (int number = 0; number < INSTANCES; number++) {
            writeSettings(number, true);
            mProcesses.add(launch(number));
        }
        put(3, 0);
        awaitVoters();
        IntStream.range(0, 3).forEach(number -> mProcesses.get(number).kill());
        Waiting.until("there is no leader", () -> heartbeat(3, "i-1") == 503);
        assertThat(heartbeat(3, "i-2"), is(503));
        assertThat(metrics(3), containsString("kumquatweir_fleet_upstreams 2"));
    }

    private int heartbeat(int number, String upstream) {
        String status =
                """
                {"service":"s","address":"10.0.0.9:8080","availability_zone":"a","version":"v1",
                "capacity_slots":11,"state":"ready","cold_remaining_ms":0,"born":99,
                "sequence_number":4}""";
        return send(HttpRequest.newBuilder(uri(number, ControlService.HEARTBEAT + upstream))
                        .POST(HttpRequest.BodyPublishers.ofString(status)))
                .statusCode();
    }

    private String metrics(int number) {
        URI uri = URI.create("http://" + address(number) + ":19180/metrics");
        return send(HttpRequest.newBuilder(uri).GET()).body();
    }

    private static List<String> usedVersions(LocalProcess process) {
        String log = process.log();
        return log.substring(0, log.lastIndexOf('\n') + 1)
                .lines()
                .filter(line -> line.contains("event=routing_changed"))
                .flatMap(line -> Stream.of(line.split(" ")))
                .filter(word -> word.startsWith("version="))
                .toList();
    }

    private void awaitVoters() {
        Waiting.until(
                "all five instances vote",
                () ->
                        mProcesses.stream()
                                .map(LocalProcess::log)
                                .allMatch(log -> lastMembers(log).split("VOTER", -1).length == 6));
    }

    private static String lastMembers(String log) {
        return log.lines()
                .filter(line -> line.contains("event=members_changed"))
                .reduce((first, second) -> second)
                .orElse("");
    }

    private void put(int version, int number) {
        Waiting.until("version " + version + " is taken", () -> putOnce(version, number) == 200);
    }

    private int putOnce(int version, int number) {
        String document = "{\"version\":" + version + ",\"services\":[],\"tenants\":[]}";
        return send(HttpRequest.newBuilder(uri(number, ControlService.PUT_ROUTING))
                        .POST(HttpRequest.BodyPublishers.ofString(document)))
                .statusCode();
    }

    private String read(int number) {
        HttpResponse<String> response =
                send(HttpRequest.newBuilder(uri(number, ControlService.READ_ROUTING)).GET());
        return response.statusCode() == 200 ? response.body() : "";
    }

    private HttpResponse<String> send(HttpRequest.Builder request) {
        while (true) {
            try {
                return mClient.send(
                        request.timeout(Duration.ofSeconds(10)).build(),
                        HttpResponse.BodyHandlers.ofString());
            } catch (IOException starting) {
                Waiting.pause();
            } catch (InterruptedException exception) {
                throw new AssertionError(exception);
            }
        }
    }

    private LocalProcess launch(int number) {
        return LocalProcess.start(
                mFolder.resolve("instance-" + number + ".log"),
                List.of("fleet", settings(number).toString()));
    }

    private void writeSettings(int number, boolean firstStart) throws IOException {
        String seeds = String.join(",", IntStream.range(0, SEEDS).mapToObj(this::address).toList());
        String text =
                """
                [instance]
                name = "control-%d"
                address = "%s"
                failure_domain = "a"
                data_folder = "%s"
                [cluster]
                name = "fleet-test"
                key = "key-of-the-fleet-test"
                seeds = "%s"
                peer_port = 17340
                first_start = %b
                lost_disks = 2
                [listen]
                metrics = "%s:19180"
                control = "%s:18229"
                """
                        .formatted(
                                number,
                                address(number),
                                folder(number),
                                seeds,
                                firstStart,
                                address(number),
                                address(number));
        Files.writeString(settings(number), text);
    }

    private URI uri(int number, String path) {
        return URI.create("http://" + address(number) + ":18229" + path);
    }

    private String address(int number) {
        return "127.77." + mNetwork + "." + (number + 1);
    }

    private Path settings(int number) {
        return mFolder.resolve("instance-" + number + ".toml");
    }

    private Path folder(int number) {
        return mFolder.resolve("data-" + number);
    }

    private static void empty(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
