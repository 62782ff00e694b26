package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.AnswerFault;
import dev.kumquatweir.platform.ControlService;
import dev.kumquatweir.platform.FaultyUpstream;
import dev.kumquatweir.platform.FleetTraffic;
import dev.kumquatweir.platform.KeptConnection;
import dev.kumquatweir.platform.RecordingUpstream;
import dev.kumquatweir.platform.StandinUpstream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A fleet of real processes with stand-in upstreams and callers that keep their connections. What
 * callers send follows from the seed.
 */
final class SoakFleet implements AutoCloseable {
    private static final int CONTROLS = 3;
    private static final int CALLERS = 60;
    private static final int GRACE_SECONDS = 6;
    private static final int LONGEST_TOKENS = 600;
    private static final int MINIMUM_TOKENS = 10;
    private static final String FIRST_REQUEST = "first-";
    private static final List<FleetTraffic.Kind> KINDS = List.of(FleetTraffic.Kind.values());

    private final long mSeed;
    private final int mLongestIdleMillis;
    private final List<FleetNode> mControls;
    private final List<FleetNode> mEntries;
    private final List<RecordingUpstream> mUpstreams = new ArrayList<>();
    private final Map<FleetNode, Boolean> mInRotation = new ConcurrentHashMap<>();
    private final Queue<PlannedStopCheck.Observed> mObserved = new ConcurrentLinkedQueue<>();
    private final List<String> mSeeds;
    private final HttpClient mClient =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private final List<Thread> mCallers = new ArrayList<>();
    private volatile boolean mStopped;

    /**
     * Starts the processes.
     *
     * @param sound number of upstreams without faults
     * @param faulty number of upstreams with faults
     * @param faults draws the fault of each answer of the latter; called by several threads
     * @param longestIdleMillis longest pause of a caller between two requests
     */
    SoakFleet(
            Path folder,
            long seed,
            int entries,
            int sound,
            int faulty,
            Function<FaultyUpstream.Request, AnswerFault> faults,
            int longestIdleMillis)
            throws IOException {
        mSeed = seed;
        mLongestIdleMillis = longestIdleMillis;
        // Addresses of the loopback network, others for each test process.
        String network = "127.78." + (1 + ProcessHandle.current().pid() % 200) + ".";
        mSeeds = IntStream.range(0, CONTROLS).mapToObj(number -> network + (1 + number)).toList();
        mControls =
                IntStream.range(0, CONTROLS)
                        .mapToObj(number -> node(folder, "control-" + number, mSeeds.get(number)))
                        .toList();
        mEntries =
                IntStream.range(0, entries)
                        .mapToObj(
                                number -> node(folder, "entry-" + number, network + (11 + number)))
                        .toList();
        List<URI> control = mControls.stream().map(FleetNode::control).toList();
        for (int number = 0; number < sound + faulty; number++) {
            InetSocketAddress address = new InetSocketAddress(network + (121 + number), 18090);
            String id = "upstream-" + number;
            mUpstreams.add(
                    number < sound
                            ? new StandinUpstream(id, address, control)
                            : new FaultyUpstream(
                                    id, address, control, request -> drawFault(faults, request)));
        }
    }

    /** Puts a configuration in force and waits until each entry instance serves. */
    void awaitServing() {
        Waiting.until("the configuration is taken", () -> put(mControls.get(0), 1) == 200);
        mControls.forEach(node -> node.writeSettings(mSeeds, false));
        mEntries.forEach(node -> Waiting.until(node.name() + " serves", () -> serves(node)));
    }

    /** Starts the callers and the probes of the load balancer. */
    void startCallers() {
        mEntries.forEach(node -> Thread.ofVirtual().start(() -> probe(node)));
        IntStream.range(0, CALLERS)
                .mapToObj(number -> Thread.ofVirtual().start(() -> call(mSeed * 1_000 + number)))
                .forEach(mCallers::add);
    }

    /**
     * Waits for the end of all requests and returns what must not be.
     *
     * @param faults what was done to the processes, for the summary
     */
    PlannedStopCheck stopCallers(String faults) {
        mStopped = true;
        mCallers.forEach(SoakFleet::join);
        Waiting.until(
                "the upstreams rest",
                () -> mUpstreams.stream().allMatch(upstream -> upstream.running() == 0));
        return new PlannedStopCheck(
                List.copyOf(mObserved),
                mUpstreams.stream().flatMap(upstream -> upstream.runs().stream()).toList(),
                Duration.ofSeconds(GRACE_SECONDS),
                faults);
    }

    /** Returns the upstreams without faults. */
    List<StandinUpstream> soundUpstreams() {
        return mUpstreams.stream()
                .flatMap(
                        upstream ->
                                upstream instanceof StandinUpstream sound
                                        ? Stream.of(sound)
                                        : Stream.empty())
                .toList();
    }

    /** Returns the control instance that led last. */
    FleetNode leader() {
        return mControls.stream()
                .max(Comparator.comparingLong(node -> ledTerm(node.process().log())))
                .orElseThrow();
    }

    private static long ledTerm(String log) {
        return log.lines()
                .filter(line -> line.contains("event=role_changed role=LEADER term="))
                .map(line -> line.replaceFirst(".* term=([0-9]+).*", "$1"))
                .mapToLong(Long::parseLong)
                .max()
                .orElse(0);
    }

    List<FleetNode> controls() {
        return mControls;
    }

    List<FleetNode> entries() {
        return mEntries;
    }

    Stream<FleetNode> nodes() {
        return Stream.concat(mControls.stream(), mEntries.stream());
    }

    /** Returns the addresses of the control instances. */
    List<String> seeds() {
        return mSeeds;
    }

    /** Returns the time that a planned stop may take. */
    static Duration grace() {
        return Duration.ofSeconds(GRACE_SECONDS);
    }

    /** Sends a configuration to a control instance; returns the status of the answer. */
    int put(FleetNode node, long version) {
        return status(
                HttpRequest.newBuilder(node.control().resolve(ControlService.PUT_ROUTING))
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        FleetTraffic.configuration(version))));
    }

    @Override
    public void close() {
        mStopped = true;
        nodes().forEach(FleetNode::close);
        mUpstreams.forEach(RecordingUpstream::close);
        mClient.close();
    }

    // Callers.

    private void call(long seed) {
        Random random = new Random(seed);
        for (int number = 0; !mStopped; number++) {
            List<FleetNode> ready = mEntries.stream().filter(mInRotation::get).toList();
            List<FleetNode> candidates = ready.isEmpty() ? mEntries : ready;
            FleetNode entry = candidates.get(random.nextInt(candidates.size()));
            String prefix = Long.toHexString(seed << 20 | number << 8);
            try (KeptConnection connection = new KeptConnection(entry.callers())) {
                for (int count = 0; !mStopped && connection.reusable(); count++) {
                    FleetTraffic.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
                    int tokens =
                            MINIMUM_TOKENS
                                    + random.nextInt(random.nextInt(3) > 0 ? LONGEST_TOKENS : 80);
                    FleetTraffic.Request request =
                            new FleetTraffic.Request(prefix + "-" + count, kind, tokens);
                    mObserved.add(new PlannedStopCheck.Observed(entry, connection.send(request)));
                    pause(random.nextInt(random.nextInt(3) > 0 ? mLongestIdleMillis : 200));
                }
            } catch (IOException notSent) {
                pause(50);
            }
        }
    }

    /** Takes an entry instance out of rotation after two failed probes, as load balancers do. */
    private void probe(FleetNode node) {
        int misses = 0;
        while (!mStopped) {
            misses = status(HttpRequest.newBuilder(node.readiness()).GET()) == 200 ? 0 : misses + 1;
            mInRotation.put(node, misses < 2);
            pause(1_000);
        }
    }

    private boolean serves(FleetNode node) {
        mInRotation.put(node, true);
        FleetTraffic.Request request =
                new FleetTraffic.Request(
                        FIRST_REQUEST + node.name(), FleetTraffic.Kind.REPEATABLE_CALL, 1);
        try (KeptConnection connection = new KeptConnection(node.callers())) {
            return connection.send(request).status() == 200;
        } catch (IOException starting) {
            return false;
        }
    }

    // Helpers.

    private static AnswerFault drawFault(
            Function<FaultyUpstream.Request, AnswerFault> faults, FaultyUpstream.Request request) {
        return request.id().startsWith(FIRST_REQUEST) ? AnswerFault.NONE : faults.apply(request);
    }

    private int status(HttpRequest.Builder request) {
        try {
            return mClient.send(
                            request.timeout(Duration.ofSeconds(2)).build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException unavailable) {
            return 0;
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private FleetNode node(Path folder, String name, String address) {
        boolean control = name.startsWith("control");
        return new FleetNode(folder, name, address, control, GRACE_SECONDS, mSeeds);
    }

    private static void pause(long millis) {
        Waiting.during(Duration.ofMillis(millis));
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }
}
