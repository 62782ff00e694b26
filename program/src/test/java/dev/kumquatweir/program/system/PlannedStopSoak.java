package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.ControlService;
import dev.kumquatweir.platform.FleetTraffic;
import dev.kumquatweir.platform.KeptConnection;
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
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A fleet under traffic whose processes are stopped as planned, told of new settings and started
 * again in series that overlap. All choices follow from the seed.
 */
final class PlannedStopSoak implements AutoCloseable {
    private static final int CONTROLS = 3;
    private static final int ENTRIES = 3;
    private static final int UPSTREAMS = 3;
    private static final int CALLERS = 60;
    private static final int GRACE_SECONDS = 6;
    private static final int LONGEST_IDLE_MILLIS = 4_000;
    private static final int LONGEST_TOKENS = 600;
    private static final List<FleetTraffic.Kind> KINDS = List.of(FleetTraffic.Kind.values());

    private final Random mRandom;
    private final long mSeed;
    private final List<FleetNode> mControls;
    private final List<FleetNode> mEntries;
    private final List<StandinUpstream> mUpstreams = new ArrayList<>();
    private final Map<FleetNode, Long> mStopping = new HashMap<>();
    private final Map<FleetNode, Boolean> mInRotation = new ConcurrentHashMap<>();
    private final Queue<PlannedStopCheck.Observed> mObserved = new ConcurrentLinkedQueue<>();
    private final List<String> mSeeds;
    private final HttpClient mClient =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private int mKilled;
    private long mVersion = 1;
    private volatile boolean mStopped;

    /** Starts the fleet and waits until each entry instance serves. */
    PlannedStopSoak(Path folder, long seed) throws IOException {
        mSeed = seed;
        mRandom = new Random(seed);
        // Addresses of the loopback network, others for each test process.
        String network = "127.78." + (1 + ProcessHandle.current().pid() % 200) + ".";
        mSeeds = IntStream.range(0, CONTROLS).mapToObj(number -> network + (1 + number)).toList();
        mControls =
                IntStream.range(0, CONTROLS)
                        .mapToObj(number -> node(folder, "control-" + number, mSeeds.get(number)))
                        .toList();
        mEntries =
                IntStream.range(0, ENTRIES)
                        .mapToObj(
                                number -> node(folder, "entry-" + number, network + (11 + number)))
                        .toList();
        for (int number = 0; number < UPSTREAMS; number++) {
            InetSocketAddress address = new InetSocketAddress(network + (21 + number), 18090);
            List<URI> control = mControls.stream().map(FleetNode::control).toList();
            mUpstreams.add(new StandinUpstream("upstream-" + number, address, control));
        }
        Waiting.until("the configuration is taken", () -> put(mControls.get(0)) == 200);
        mControls.forEach(node -> node.writeSettings(mSeeds, false));
        mEntries.forEach(node -> Waiting.until(node.name() + " serves", () -> serves(node)));
    }

    /** Lets callers send and processes stop for the given time; returns what must not be. */
    PlannedStopCheck run(Duration duration) {
        long endNanos = System.nanoTime() + duration.toNanos();
        mEntries.forEach(node -> Thread.ofVirtual().start(() -> probe(node)));
        List<Thread> callers =
                IntStream.range(0, CALLERS)
                        .mapToObj(
                                number ->
                                        Thread.ofVirtual()
                                                .start(() -> call(mSeed * 1_000 + number)))
                        .toList();
        while (System.nanoTime() - endNanos < 0) {
            act();
            long pauseMillis = 100L + mRandom.nextInt(1_500);
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
            while (System.nanoTime() - untilNanos < 0) {
                tendStopping(System.nanoTime());
                Waiting.pause();
            }
        }
        mStopped = true;
        callers.forEach(PlannedStopSoak::join);
        Waiting.until(
                "the upstreams rest",
                () -> mUpstreams.stream().allMatch(upstream -> upstream.running() == 0));
        return new PlannedStopCheck(
                List.copyOf(mObserved),
                mUpstreams.stream().flatMap(upstream -> upstream.runs().stream()).toList(),
                Duration.ofSeconds(GRACE_SECONDS),
                "stops=%d killed=%d"
                        .formatted(
                                nodes().mapToInt(node -> node.terminations().size()).sum(),
                                mKilled));
    }

    @Override
    public void close() {
        mStopped = true;
        nodes().forEach(FleetNode::close);
        mUpstreams.forEach(StandinUpstream::close);
        mClient.close();
    }

    // Faults.

    private void act() {
        FleetNode any = pick(nodes().toList());
        switch (mRandom.nextInt(9)) {
            case 0, 1, 2, 3 -> terminate(pick(mEntries), mEntries, ENTRIES - 1);
            case 4 -> terminate(mRandom.nextBoolean() ? leader() : pick(mControls), mControls, 1);
            case 5 -> mStopping.keySet().forEach(node -> node.process().beginTermination());
            case 6 -> any.process().hangUp();
            case 7 -> {
                List<String> seeds = new ArrayList<>(mSeeds);
                Collections.shuffle(seeds, mRandom);
                any.writeSettings(seeds, false);
                any.process().hangUp();
            }
            default -> {
                mVersion++;
                FleetNode node = pick(mControls);
                Thread.ofVirtual().start(() -> put(node));
            }
        }
    }

    /** Begins a planned stop, unless as many of the group stop already. */
    private void terminate(FleetNode node, List<FleetNode> group, int most) {
        boolean enough = group.stream().filter(mStopping::containsKey).count() >= most;
        if (!enough && !mStopping.containsKey(node)) {
            long nowNanos = System.nanoTime();
            node.terminate(nowNanos);
            long restartMillis = mRandom.nextInt(1_000);
            mStopping.put(node, nowNanos + TimeUnit.MILLISECONDS.toNanos(restartMillis));
        }
    }

    /** Ends processes that outlive the grace period and starts those again that have ended. */
    private void tendStopping(long nowNanos) {
        for (FleetNode node : List.copyOf(mStopping.keySet())) {
            long asked = node.terminations().getLast();
            boolean alive = node.process().alive();
            if (alive && nowNanos - asked > TimeUnit.SECONDS.toNanos(GRACE_SECONDS)) {
                node.process().kill();
                mKilled++;
            } else if (!alive && nowNanos - mStopping.get(node) > 0) {
                node.process().startAgain();
                mStopping.remove(node);
            }
        }
    }

    private FleetNode leader() {
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
                    int tokens = 10 + random.nextInt(random.nextInt(3) > 0 ? LONGEST_TOKENS : 80);
                    FleetTraffic.Request request =
                            new FleetTraffic.Request(prefix + "-" + count, kind, tokens);
                    mObserved.add(new PlannedStopCheck.Observed(entry, connection.send(request)));
                    pause(random.nextInt(random.nextInt(3) > 0 ? LONGEST_IDLE_MILLIS : 200));
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
                new FleetTraffic.Request("first-" + node.name(), FleetTraffic.Kind.CALL, 1);
        try (KeptConnection connection = new KeptConnection(node.callers())) {
            return connection.send(request).whole();
        } catch (IOException starting) {
            return false;
        }
    }

    // Helpers.

    private int put(FleetNode node) {
        return status(
                HttpRequest.newBuilder(node.control().resolve(ControlService.PUT_ROUTING))
                        .POST(
                                HttpRequest.BodyPublishers.ofString(
                                        FleetTraffic.configuration(mVersion))));
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

    private Stream<FleetNode> nodes() {
        return Stream.concat(mControls.stream(), mEntries.stream());
    }

    private FleetNode pick(List<FleetNode> nodes) {
        return nodes.get(mRandom.nextInt(nodes.size()));
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
