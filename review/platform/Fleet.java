package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The project's own processes: control and entry instances, started with the commands of the deploy
 * file and settings like its template renders them. Each has a loopback address of its own.
 */
final class Fleet implements AutoCloseable {
    static final int CONTROL_INSTANCES = 5;
    private static final int[] PORTS = new int[5];
    private static final String[] ZONES = {"klang-a", "klang-b", "klang-c", "klang-a", "klang-b"};

    private final Journal mJournal;
    private final Path mFolder;
    private final String mNetwork;
    final List<Node> control = new ArrayList<>();
    final List<Node> entries = new ArrayList<>();

    Fleet(Journal journal, int entryCount) throws IOException {
        mJournal = journal;
        mFolder = Files.createTempDirectory("kumquatweir-review");
        mNetwork = freeNetwork();
        for (int number = 1; number <= CONTROL_INSTANCES; number++) {
            control.add(new Node("core-" + number, address(number), ZONES[number - 1], true));
        }
        for (int number = 1; number <= entryCount; number++) {
            entries.add(
                    new Node("front-" + number, address(20 + number), ZONES[number - 1], false));
        }
    }

    /** Returns a loopback address of this fleet's own network. */
    String address(int number) {
        return mNetwork + number;
    }

    void start() throws IOException {
        for (Node node : nodes()) {
            node.start(true);
        }
    }

    List<Node> nodes() {
        return Stream.concat(control.stream(), entries.stream()).toList();
    }

    List<InetSocketAddress> controlAddresses() {
        return control.stream().map(Node::controlPlane).toList();
    }

    /** Waits until all entry instances are ready. Returns whether they are. */
    boolean awaitReady(long limitMillis) throws InterruptedException {
        long untilNanos = System.nanoTime() + limitMillis * 1_000_000;
        while (System.nanoTime() - untilNanos < 0) {
            if (entries.stream().allMatch(Node::ready)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Watches for some time, and starts entry instances again that have ended by themselves. */
    void watchEntries(long millis) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() - untilNanos < 0) {
            Thread.sleep(100);
            for (Node entry : entries) {
                if (!entry.alive()) {
                    mJournal.add(entry.name + " ended by itself with " + entry.exitStatus());
                    Thread.sleep(500);
                    entry.start(false);
                }
            }
        }
    }

    /** Returns the control instance that leads, by the newest line of the logs; null if none. */
    Node leader() throws IOException {
        Node leader = null;
        long newestTerm = -1;
        for (Node node : control) {
            for (String line : Files.readAllLines(node.mLog)) {
                if (line.contains("role_changed") && line.contains("role=LEADER")) {
                    long term = Long.parseLong(line.replaceAll(".*term=([0-9]+).*", "$1"));
                    if (term > newestTerm) {
                        newestTerm = term;
                        leader = node;
                    }
                }
            }
        }
        return leader;
    }

    @Override
    public void close() {
        nodes().forEach(Node::kill);
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + mFolder);
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException leftBehind) {
            mJournal.add("temporary folder not deleted: " + leftBehind.getMessage());
        }
    }

    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 100; tries++) {
            String network = "127." + (16 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            List<ServerSocket> sockets = new ArrayList<>();
            try {
                for (int place = 0; place < PORTS.length; place++) {
                    ServerSocket socket =
                            new ServerSocket(0, 1, InetAddress.getByName(network + 1));
                    sockets.add(socket);
                    PORTS[place] = socket.getLocalPort();
                }
                return network;
            } catch (IOException taken) {
                // Another network is tried.
            } finally {
                for (ServerSocket socket : sockets) {
                    socket.close();
                }
            }
        }
        throw new IOException("no free loopback network");
    }

    private static List<String> command(String role, Path settings) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + "]") : inRole;
            if (inRole && line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return Stream.of(run.split(" "))
                        .map(
                                word ->
                                        word.equals("/etc/kumquatweir/node.json")
                                                ? settings.toString()
                                                : word)
                        .toList();
            }
        }
        throw new IOException("no role " + role + " in the deploy file");
    }

    /** One instance. */
    final class Node {
        final String name;
        final String ip;
        final String zone;
        private final boolean mControl;
        private final Path mLog;
        private Process mProcess;

        private Node(String name, String ip, String zone, boolean isControl) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            mControl = isControl;
            mLog = mFolder.resolve(name + ".log");
        }

        InetSocketAddress controlPlane() {
            return new InetSocketAddress(ip, PORTS[0]);
        }

        InetSocketAddress callers() {
            return new InetSocketAddress(ip, PORTS[1]);
        }

        boolean alive() {
            return mProcess.isAlive();
        }

        int exitStatus() {
            return mProcess.exitValue();
        }

        boolean ready() {
            try {
                InetSocketAddress readiness = new InetSocketAddress(ip, PORTS[2]);
                return Http.call(
                                        readiness,
                                        "GET",
                                        "/readiness",
                                        Map.of("Host", "platform"),
                                        "",
                                        500)
                                .status()
                        == 200;
            } catch (IOException notReady) {
                return false;
            }
        }

        void start(boolean firstStart) throws IOException {
            Path settings = mFolder.resolve(name + ".toml");
            Files.writeString(settings, settings(firstStart));
            if (!Files.exists(mLog)) {
                Files.createFile(mLog);
            }
            mProcess =
                    new ProcessBuilder(command(mControl ? "control" : "entry", settings))
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()))
                            .start();
            mJournal.add("start " + name + " at " + ip);
        }

        /** SIGKILL. */
        void kill() {
            if (mProcess != null && mProcess.isAlive()) {
                mJournal.add("kill " + name);
                mProcess.destroyForcibly();
                try {
                    mProcess.waitFor();
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        void freeze() throws IOException, InterruptedException {
            signal("STOP");
        }

        void thaw() throws IOException, InterruptedException {
            signal("CONT");
        }

        private void signal(String signal) throws IOException, InterruptedException {
            mJournal.add("signal " + signal + " to " + name);
            String text = "kill -" + signal + " " + mProcess.pid();
            new ProcessBuilder("sh", "-c", text).start().waitFor();
        }

        /** Returns the settings as deploy/instance.toml.template renders them. */
        private String settings(boolean firstStart) {
            String seeds =
                    String.join(
                            ",",
                            IntStream.rangeClosed(1, 3)
                                    .mapToObj(number -> address(number) + ":" + PORTS[0])
                                    .toList());
            String data =
                    mControl ? "data_folder = \"" + mFolder.resolve(name + "-data") + "\"\n" : "";
            String listen =
                    mControl
                            ? "control = \"%s:%d\"\n".formatted(ip, PORTS[0])
                            : "callers = \"%s:%d\"\nreadiness = \"%s:%d\"\n"
                                    .formatted(ip, PORTS[1], ip, PORTS[2]);
            return """
                    [instance]
                    name = "%s"
                    address = "%s"
                    failure_domain = "%s"
                    %s
                    [cluster]
                    name = "fleet"
                    key = "kumquatweir-fleet-internal-key"
                    seeds = "%s"
                    peer_port = %d
                    first_start = %b
                    lost_disks = "2"

                    [listen]
                    metrics = "%s:%d"
                    %s
                    [limits]
                    drain_seconds = "8"
                    repeat_ratio = "0.2"
                    repeat_extra = "106"
                    repeat_window_seconds = "10"
                    """
                    .formatted(
                            name, ip, zone, data, seeds, PORTS[3], firstStart, ip, PORTS[4], listen);
        }
    }
}
