package review.common2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * A small deployment of the program on loopback addresses: control and entry instances as separate
 * processes, with the commands and the settings template of the deploy file.
 */
public final class Fleet implements AutoCloseable {
    /** Port on which entry instances serve clients. */
    public static final int CLIENT_PORT = 18227;

    private static final int READINESS_PORT = 18220;
    private static final int CONTROL_PORT = 18229;
    private static final int SEEDS = 3;

    /** Descriptors of the machines of kainbaru-quotes. */
    private static final int CORE_DESCRIPTORS = 4_096;

    private static final int FRONT_DESCRIPTORS = 8_200;

    private final Path mProject;
    private final Path mFolder;
    private final String mNetwork;
    private final List<Node> mControl = new ArrayList<>();
    private final List<Node> mEntries = new ArrayList<>();

    /**
     * @param project root of the built project
     * @param folder temporary folder for settings, data and logs
     * @param controls number of control instances
     * @param entries number of entry instances
     */
    public Fleet(Path project, Path folder, int controls, int entries) throws IOException {
        mProject = project;
        mFolder = folder;
        mNetwork = "127." + (20 + ProcessHandle.current().pid() % 200) + ".7.";
        for (int number = 0; number < controls; number++) {
            mControl.add(new Node("core-" + number, mNetwork + (10 + number), "control", true));
        }
        for (int number = 0; number < entries; number++) {
            mEntries.add(new Node("front-" + number, mNetwork + (40 + number), "entry", false));
        }
        // Also ends the processes if the case itself is ended by a signal.
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Record.line("fleet controls=%d entries=%d", controls, entries);
    }

    /** Starts all instances and waits until the configuration is accepted. */
    public void start(String configuration) throws Exception {
        for (Node node : mControl) {
            node.start(true);
        }
        for (Node node : mEntries) {
            node.start(true);
        }
        await("the first configuration is accepted", 30_000, () -> put(configuration, 0) == 200);
        Record.line("first configuration accepted");
    }

    /** Waits until an entry instance says that it is ready. */
    public void awaitReady(int entry) {
        await("entry " + entry + " is ready", 30_000, () -> ready(entry));
        Record.line("entry %d ready", entry);
    }

    /** Returns whether an entry instance answers 200 to the platform's readiness question. */
    public boolean ready(int entry) {
        return status(mEntries.get(entry).mAddress, READINESS_PORT, "GET /readiness", "") == 200;
    }

    /** Sends a configuration to a control instance and returns the status, 0 without an answer. */
    public int put(String configuration, int control) {
        return order("POST /Configuration.Replace", configuration, control);
    }

    /** Reads the newest configuration from a control instance; null without a 200. */
    public String read(int control) {
        try {
            Wire.Answer answer =
                    Wire.exchange(
                            new InetSocketAddress(mControl.get(control).mAddress, CONTROL_PORT),
                            Wire.request(
                                    "GET /Configuration.Fetch", "control.example", List.of(), ""),
                            4_000);
            boolean whole = answer.status() == 200 && answer.complete();
            return whole ? new String(answer.body(), StandardCharsets.UTF_8) : null;
        } catch (IOException unavailable) {
            return null;
        }
    }

    /** Sends an order of the operator or of a worker to a control instance. */
    public int order(String start, String body, int control) {
        return status(mControl.get(control).mAddress, CONTROL_PORT, start, body);
    }

    private static int status(String address, int port, String start, String body) {
        try {
            return Wire.exchange(
                            new InetSocketAddress(address, port),
                            Wire.request(start, "control.example", List.of(), body),
                            4_000)
                    .status();
        } catch (IOException unavailable) {
            return 0;
        }
    }

    /** Returns the address at which clients reach an entry instance. */
    public InetSocketAddress clients(int entry) {
        return new InetSocketAddress(mEntries.get(entry).mAddress, CLIENT_PORT);
    }

    /** Returns an unused loopback address of this deployment. */
    public String workerAddress(int number) {
        return mNetwork + (100 + number);
    }

    /** Returns the addresses at which workers and the operator reach control instances. */
    public List<InetSocketAddress> controlAddresses() {
        return mControl.stream()
                .map(node -> new InetSocketAddress(node.mAddress, CONTROL_PORT))
                .toList();
    }

    /** Returns a control instance. */
    public Node control(int number) {
        return mControl.get(number);
    }

    /** Returns an entry instance. */
    public Node entry(int number) {
        return mEntries.get(number);
    }

    /** Returns all instances. */
    public List<Node> nodes() {
        List<Node> nodes = new ArrayList<>(mControl);
        nodes.addAll(mEntries);
        return nodes;
    }

    /** Returns the control instance that logged last that it leads. */
    public int leader() throws IOException {
        int leader = -1;
        long highestTerm = -1;
        Pattern pattern = Pattern.compile("event=role_changed.*role=LEADER.*term=(\\d+)");
        for (int number = 0; number < mControl.size(); number++) {
            Matcher matcher = pattern.matcher(mControl.get(number).log());
            while (matcher.find()) {
                long term = Long.parseLong(matcher.group(1));
                if (term > highestTerm) {
                    highestTerm = term;
                    leader = number;
                }
            }
        }
        return leader;
    }

    @Override
    public void close() {
        nodes().forEach(Node::kill);
    }

    /** Waits for a condition and fails the case as not runnable if it does not come true. */
    public static void await(String what, long millis, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - untilNanos > 0) {
                throw new CannotRunException("not within " + millis + " ms: " + what);
            }
            pause(50);
        }
    }

    /** Waits for a time. */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new CannotRunException("interrupted");
        }
    }

    /** The case could not be set up. */
    public static final class CannotRunException extends RuntimeException {
        private static final long serialVersionUID = 1;

        /** Creates an exception with the reason. */
        public CannotRunException(String reason) {
            super(reason);
        }
    }

    /** One process of the program. */
    public final class Node {
        private final String mName;
        private final String mAddress;
        private final String mRole;
        private final boolean mDisk;
        private Process mProcess;

        Node(String name, String address, String role, boolean disk) {
            mName = name;
            mAddress = address;
            mRole = role;
            mDisk = disk;
        }

        /** Starts the process with the command of the deploy file. */
        public void start(boolean firstStart) throws IOException {
            Path settings = mFolder.resolve(mName + ".toml");
            Files.writeString(settings, settings(firstStart));
            List<String> command = new ArrayList<>();
            command.addAll(List.of("/bin/sh", "-c", "ulimit -n $0; exec \"$@\""));
            command.add(Integer.toString(mDisk ? CORE_DESCRIPTORS : FRONT_DESCRIPTORS));
            command.addAll(
                    List.of(
                            runLine()
                                    .replace("/etc/kumquatweir/node.json", settings.toString())
                                    .split(" ")));
            mProcess =
                    new ProcessBuilder(command)
                            .directory(mProject.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            mFolder.resolve(mName + ".log").toFile()))
                            .start();
            Record.line("start %s pid=%d", mName, mProcess.pid());
        }

        private String runLine() throws IOException {
            boolean ownRole = false;
            for (String line : Files.readAllLines(mProject.resolve("deploy/system.toml"))) {
                if (line.startsWith("[")) {
                    ownRole = line.equals("[roles." + mRole + "]");
                } else if (ownRole && line.startsWith("run = ")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new CannotRunException("no run line for " + mRole);
        }

        private String settings(boolean firstStart) throws IOException {
            String seeds =
                    String.join(
                            ",",
                            IntStream.range(0, Math.min(SEEDS, mControl.size()))
                                    .mapToObj(
                                            number ->
                                                    mControl.get(number).mAddress
                                                            + ":"
                                                            + CONTROL_PORT)
                                    .toList());
            Map<String, String> values =
                    new java.util.HashMap<>(
                            Map.of(
                                    "node_name", mName,
                                    "ip_address", mAddress,
                                    "availability_zone", "klang-a",
                                    "seed_nodes", seeds,
                                    "internal_port_range.0", "7340",
                                    "first_start", Boolean.toString(firstStart),
                                    "fault_tolerance.machine_failures",
                                            Integer.toString((mControl.size() - 1) / 2),
                                    "timing_bounds.grace_period_s", "8",
                                    "timing_bounds.retry_budget_ratio", "0.2",
                                    "timing_bounds.retry_budget_extra", "106"));
            values.put("timing_bounds.budget_window_s", "10");
            values.put(
                    "contracts",
                    "base,drain,config,cost,retry,recover,engine,stream,tenants,places,spans");
            if (mDisk) {
                values.put("data_directory", mFolder.resolve("data-" + mName).toString());
                values.put("listen_addresses.control_plane", mAddress + ":" + CONTROL_PORT);
            } else {
                values.put("listen_addresses.frontend_address", mAddress + ":" + CLIENT_PORT);
                values.put("listen_addresses.readiness_address", mAddress + ":" + READINESS_PORT);
            }
            return Template.render(
                    Files.readString(mProject.resolve("deploy/instance.toml.template")), values);
        }

        /** Returns the name. */
        public String name() {
            return mName;
        }

        /** Returns whether the process runs. */
        public boolean alive() {
            return mProcess != null && mProcess.isAlive();
        }

        /** Returns the exit status of an ended process. */
        public int exitStatus() {
            return mProcess.exitValue();
        }

        /** Returns the resident memory in MB, 0 if the process has ended. */
        public long residentMegabytes() {
            try {
                return Files.readAllLines(Path.of("/proc/" + mProcess.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) >> 10)
                        .findFirst()
                        .orElse(0);
            } catch (IOException ended) {
                return 0;
            }
        }

        /** Kills the process. */
        public void kill() {
            if (mProcess != null) {
                mProcess.destroyForcibly();
                try {
                    mProcess.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        /** Sends a signal to the process. */
        public void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid()))
                    .start()
                    .waitFor();
            Record.line("signal %s to %s", name, mName);
        }

        /** Returns what the process has written. */
        public String log() throws IOException {
            return Files.readString(mFolder.resolve(mName + ".log"));
        }
    }

    /** Opens a connection of a client. */
    public Socket connect(int entry) throws IOException {
        Socket socket = new Socket();
        socket.connect(clients(entry), 1_000);
        return socket;
    }
}
