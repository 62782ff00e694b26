package dev.kumquatweir.program.system;

import com.fasterxml.jackson.databind.JsonNode;
import dev.kumquatweir.core.configuration.ApiKeyHash;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Four instances in three failure domains and stand-in upstreams, each a process of the real binary
 * on this machine. The fourth instance has no disk.
 */
final class LocalCluster implements AutoCloseable {
    static final String TEAM_KEY = "ipoh.team-key";
    static final String OPERATOR_KEY = "operator-key-of-the-test";
    static final String SECOND_OPERATOR_KEY = "second-operator-key-of-the-test";
    static final int INSTANCES = 4;
    private static final String ANNOUNCE_KEY = "announce-key-of-the-test";
    static final int VOTERS = 3;
    private static final List<String> DOMAINS = List.of("klang-a", "klang-b", "klang-c", "klang-a");
    private static final int LISTENERS = 4;
    private static final int FIRST_PORT = 15_000;
    private static final int PORTS = 17_000;

    /** Starts at another place in each test process, since several run on one machine. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 101 % PORTS));

    private static final Pattern LED =
            Pattern.compile("event=role_changed role=LEADER term=(\\d+)");

    /** Default of the product, in seconds. */
    private static final int USUAL_DRAIN_SECONDS = 1_800;

    private final Path mFolder;
    private final int mDrainSeconds;
    private final int[][] mPorts = new int[INSTANCES][LISTENERS];
    private final int[] mOwnPeerPorts = new int[INSTANCES];
    private final List<CuttingRelay> mRelays = new ArrayList<>();
    private final LocalProcess[] mInstances = new LocalProcess[INSTANCES];
    private final Map<String, LocalProcess> mUpstreams = new LinkedHashMap<>();
    private final Map<String, Integer> mUpstreamPorts = new LinkedHashMap<>();

    private LocalCluster(Path folder, int drainSeconds) {
        mFolder = folder;
        mDrainSeconds = drainSeconds;
    }

    /** Starts four instances and waits until all of them are ready. */
    static LocalCluster start(Path folder) {
        return start(folder, USUAL_DRAIN_SECONDS);
    }

    /**
     * Starts four instances and waits until all of them are ready.
     *
     * @param drainSeconds longest wait for running requests at a planned stop
     */
    static LocalCluster start(Path folder, int drainSeconds) {
        LocalCluster cluster = new LocalCluster(folder, drainSeconds);
        IntStream.range(0, INSTANCES).forEach(cluster::choosePorts);
        cluster.write("configuration.toml", configuration());
        IntStream.range(0, INSTANCES).forEach(cluster::startInstance);
        cluster.awaitAllReady();
        return cluster;
    }

    void awaitAllReady() {
        IntStream.range(0, INSTANCES).forEach(this::awaitReady);
    }

    void awaitReady(int number) {
        Waiting.until(
                "instance " + number + " is ready",
                () -> Caller.status(url(number) + "/health/ready") == 200);
    }

    LocalProcess instance(int number) {
        return mInstances[number];
    }

    LocalProcess upstream(String id) {
        return mUpstreams.get(id);
    }

    String url(int instance) {
        return "http://127.0.0.1:" + mPorts[instance][0];
    }

    String operatorUrl(int instance) {
        return "http://127.0.0.1:" + mPorts[instance][2];
    }

    int peerPort(int instance) {
        return mPorts[instance][3];
    }

    String upstreamUrl(String id) {
        return "http://127.0.0.1:" + mUpstreamPorts.get(id);
    }

    String holdUrl(int instance) {
        return url(instance) + "/services/bookings/deposit-holds";
    }

    /** Returns how often a stand-in service executed the action of each key. */
    JsonNode executions(String service) {
        return Caller.get(upstreamUrl(service) + "/standin/v1/ledger").json().path("executions");
    }

    /** Causes a fault of a stand-in; the value is JSON. */
    void fault(String upstream, String fault, String value) {
        String body = "{\"fault\": \"" + fault + "\", \"value\": " + value + "}";
        Caller.Answer answer = Caller.askStandin(upstreamUrl(upstream) + "/standin/v1/fault", body);
        if (answer.status() / 100 != 2) {
            throw new AssertionError(answer);
        }
    }

    /** Waits until every instance knows the booking service. */
    void awaitService() {
        IntStream.range(0, INSTANCES)
                .forEach(
                        instance ->
                                Waiting.until(
                                        "instance " + instance + " knows the service",
                                        () -> Caller.status(holdUrl(instance) + "/ready") == 200));
    }

    /** Waits until every instance gets answers from an engine. */
    void awaitEngines() {
        IntStream.range(0, INSTANCES)
                .forEach(
                        instance ->
                                Waiting.until(
                                        "instance " + instance + " knows an engine",
                                        () ->
                                                Caller.complete(url(instance), "quick", "ready?", 1)
                                                                .status()
                                                        == 200));
    }

    /** Waits until an instance leads and returns it: the one that leads the newest term. */
    int awaitLeader() {
        Waiting.until("an instance leads", () -> newestLeader() >= 0);
        return newestLeader();
    }

    private int newestLeader() {
        long newest = 0;
        int leader = -1;
        for (int number = 0; number < VOTERS; number++) {
            Matcher led = LED.matcher(mInstances[number].log());
            while (led.find()) {
                long term = Long.parseLong(led.group(1));
                if (term > newest) {
                    newest = term;
                    leader = number;
                }
            }
        }
        return leader;
    }

    /**
     * Puts a relay in front of the peer port of each instance. The agreed addresses of the members
     * become those of the relays, so the instances are started again on other ports.
     */
    CuttingRelay.Cuts putRelaysBetween() {
        CuttingRelay.Cuts cuts = new CuttingRelay.Cuts();
        IntStream.range(0, INSTANCES).forEach(number -> mInstances[number].kill());
        for (int number = 0; number < INSTANCES; number++) {
            mOwnPeerPorts[number] = freePort();
            mRelays.add(CuttingRelay.start(number, mPorts[number][3], mOwnPeerPorts[number], cuts));
        }
        IntStream.range(0, INSTANCES).forEach(this::startInstance);
        awaitAllReady();
        return cuts;
    }

    void startInstance(int number) {
        String name = "entry-" + (number + 1);
        write(name + ".toml", settings(number));
        List<String> arguments = List.of("serve", mFolder.resolve(name + ".toml").toString());
        mInstances[number] = LocalProcess.start(mFolder.resolve(name + ".log"), arguments);
    }

    /** Empties the data folder of an instance that does not run. */
    void loseDisk(int number) {
        Path data = mFolder.resolve("data-" + (number + 1));
        try (Stream<Path> files = Files.walk(data)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    void startEngine(String id, String domain, String... more) {
        List<String> options = new ArrayList<>(List.of("--model", "quote-7b"));
        options.addAll(List.of(more));
        startUpstream("engine", id, domain, "quote-llm", options);
    }

    void startService(String id, String domain) {
        startUpstream("service", id, domain, "bookings", List.of());
    }

    private void startUpstream(
            String kind, String id, String domain, String service, List<String> more) {
        int port = freePort();
        List<String> arguments = new ArrayList<>(List.of("standin", kind, "--id", id));
        arguments.addAll(List.of("--listen", "127.0.0.1:" + port, "--domain", domain));
        arguments.addAll(List.of("--service", service, "--announce-key", ANNOUNCE_KEY));
        IntStream.range(0, INSTANCES)
                .forEach(
                        instance ->
                                arguments.addAll(
                                        List.of(
                                                "--announce-to",
                                                "127.0.0.1:" + mPorts[instance][1])));
        arguments.addAll(more);
        mUpstreamPorts.put(id, port);
        mUpstreams.put(id, LocalProcess.start(mFolder.resolve(id + ".log"), arguments));
    }

    @Override
    public void close() {
        Stream.concat(Stream.of(mInstances), mUpstreams.values().stream())
                .filter(process -> process != null)
                .forEach(LocalProcess::close);
        mRelays.forEach(CuttingRelay::close);
    }

    private void choosePorts(int number) {
        IntStream.range(0, LISTENERS).forEach(kind -> mPorts[number][kind] = freePort());
        mOwnPeerPorts[number] = mPorts[number][3];
    }

    private String settings(int number) {
        StringBuilder text = new StringBuilder();
        text.append("[instance]\nid = \"entry-").append(number + 1).append("\"\n");
        text.append("failure_domain = \"").append(DOMAINS.get(number)).append("\"\n");
        if (number < VOTERS) {
            text.append("data_folder = \"data-").append(number + 1).append("\"\n");
        }
        text.append("[listen]\n");
        text.append("caller = \"127.0.0.1:").append(mPorts[number][0]).append("\"\n");
        text.append("upstream = \"127.0.0.1:").append(mPorts[number][1]).append("\"\n");
        text.append("operator = \"127.0.0.1:").append(mPorts[number][2]).append("\"\n");
        text.append("[limits]\ndrain_seconds = ").append(mDrainSeconds).append('\n');
        text.append("[cluster]\nname = \"test\"\nkey = \"cluster-key-of-the-test\"\n");
        text.append("announce_key = \"").append(ANNOUNCE_KEY).append("\"\n");
        text.append("first_configuration = \"configuration.toml\"\n");
        for (int peer = 0; peer < INSTANCES; peer++) {
            text.append("[[cluster.instances]]\nid = \"entry-").append(peer + 1).append("\"\n");
            int port = peer == number ? mOwnPeerPorts[peer] : mPorts[peer][3];
            text.append("address = \"127.0.0.1:").append(port).append("\"\n");
            text.append("failure_domain = \"").append(DOMAINS.get(peer)).append("\"\n");
            text.append("voter = ").append(peer < VOTERS).append("\n");
        }
        text.append(operator("tester", OPERATOR_KEY));
        text.append(operator("second", SECOND_OPERATOR_KEY));
        return text.toString();
    }

    private static String operator(String name, String key) {
        return "[[operators]]\nname = \"%s\"\nkey_salt = \"0a0b\"\nkey_sha256 = \"%s\"\n"
                .formatted(name, ApiKeyHash.of("0a0b", key).digest());
    }

    private static String configuration() {
        return """
        [[services]]
        name = "quote-llm"
        kind = "engine"
        profile = "quick"

        [[services]]
        name = "bookings"
        kind = "service"
        profile = "hold"

        [[profiles]]
        name = "quick"
        service = "quote-llm"
        class = "short"
        models = ["quote-7b"]
        time_limit_seconds = 120

        [[profiles]]
        name = "dossier"
        service = "quote-llm"
        class = "long"

        [[profiles]]
        name = "hold"
        service = "bookings"
        class = "action"

        [[teams]]
        name = "ipoh"
        key_salt = "0a0b"
        key_sha256 = "%s"
        default_profile = "quick"
        """
                .formatted(ApiKeyHash.of("0a0b", TEAM_KEY).digest());
    }

    private void write(String name, String content) {
        try {
            Files.writeString(mFolder.resolve(name), content);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns a port that is free and was not returned before. Ports below the range of outgoing
     * connections are taken, since a port of that range may be in use again before the process that
     * was told of it listens.
     */
    private static int freePort() {
        while (true) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                // Taken; the next one is tried.
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }
    }
}
