package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
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
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Instances of a fleet that are ended in the middle of their starts, again and again and several at
 * once. Guards against starts that end by themselves after an interrupted one, against planned
 * stops that fail during a start, and against the loss of confirmed documents.
 */
final class StartSeriesIt {
    private static final int CONTROL_INSTANCES = 5;
    private static final int SEEDS = 3;
    private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(12);
    private static final long WRITE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Duration TIMEOUT = Duration.ofMillis(800);
    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");

    private final List<StartInstance> mInstances = new ArrayList<>();
    private final HttpClient mClient = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final int mNetwork = (int) (1 + ProcessHandle.current().pid() % 200);
    private long mVersion;
    private long mConfirmed;

    static LongStream seeds() {
        long first = Long.getLong("starts.first_seed", 1);
        return LongStream.range(first, first + Long.getLong("starts.seeds", 1));
    }

    @AfterEach
    void stop() {
        mInstances.forEach(StartInstance::close);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void fleetSurvivesInterruptedStarts(long seed) throws IOException {
        Path folder = logFolder().resolve("seed-" + seed);
        delete(folder);
        Files.createDirectories(folder);
        startAll(folder);
        LostDisks disks = new LostDisks();
        long startNanos = System.nanoTime();
        List<StartSeries> series =
                mInstances.stream()
                        .map(
                                instance ->
                                        new StartSeries(
                                                instance,
                                                seed * 100 + mInstances.indexOf(instance),
                                                disks,
                                                this::writeSettings,
                                                startNanos))
                        .toList();
        interruptStarts(series, startNanos);
        Waiting.until(
                "all instances are started again",
                () -> series.stream().allMatch(one -> one.settle(System.nanoTime())));
        long backNanos = System.nanoTime();
        long confirmed = mConfirmed;
        boolean read = awaitBack(() -> readVersion() >= confirmed, backNanos);
        long readNanos = System.nanoTime();
        boolean written = awaitBack(this::writeNext, backNanos);
        long writtenNanos = System.nanoTime();
        series.forEach(one -> one.settle(System.nanoTime()));
        int ends = series.stream().mapToInt(StartSeries::ends).sum();
        System.out.printf(
                "start series: seed=%d ends=%d lost_disks=%d confirmed=%d read_ms=%d write_ms=%d%n",
                seed,
                ends,
                disks.count(),
                mConfirmed,
                TimeUnit.NANOSECONDS.toMillis(readNanos - backNanos),
                TimeUnit.NANOSECONDS.toMillis(writtenNanos - backNanos));
        List<String> findings = series.stream().flatMap(one -> one.findings().stream()).toList();
        assertThat("logs in " + folder, findings, is(empty()));
        assertThat("version " + confirmed + " is read back; " + folder, read, is(true));
        assertThat("a new document is confirmed; " + folder, written, is(true));
        mInstances.forEach(StartInstance::close);
        delete(folder);
    }

    /** Returns where logs are kept; those of seeds without findings are deleted. */
    private static Path logFolder() {
        Path beside =
                Path.of(System.getProperty("kumquatweir.executable")).resolveSibling("starts");
        return Path.of(System.getProperty("starts.logs", beside.toString())).toAbsolutePath();
    }

    private void startAll(Path folder) {
        for (int number = 1; number <= CONTROL_INSTANCES + 1; number++) {
            boolean control = number <= CONTROL_INSTANCES;
            String name = (control ? "control-" : "entry-") + number;
            StartInstance instance =
                    new StartInstance(
                            folder, name, address(number), folder.resolve("data-" + name), control);
            instance.writeSettings(seedAddresses(), control);
            mInstances.add(instance);
            instance.start();
        }
        Waiting.until("a first document is confirmed", this::writeNext);
        Waiting.until(
                "all control instances vote",
                () ->
                        mInstances.stream()
                                .filter(StartInstance::control)
                                .allMatch(StartSeriesIt::fiveVote));
    }

    private void interruptStarts(List<StartSeries> series, long startNanos) {
        long endNanos = startNanos + TimeUnit.SECONDS.toNanos(Long.getLong("starts.seconds", 20));
        // The group exists, so that an instance with an empty folder joins it.
        mInstances.forEach(this::writeSettings);
        Thread writer = Thread.ofPlatform().name("writer").start(() -> writeUntil(endNanos));
        while (System.nanoTime() - endNanos < 0) {
            series.forEach(one -> one.step(System.nanoTime()));
            Waiting.pause();
        }
        try {
            writer.join();
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private void writeUntil(long endNanos) {
        while (System.nanoTime() - endNanos < 0) {
            boolean confirmed = writeNext();
            if (confirmed) {
                Waiting.during(Duration.ofNanos(WRITE_INTERVAL_NANOS));
            }
        }
    }

    private void writeSettings(StartInstance instance) {
        instance.writeSettings(seedAddresses(), false);
    }

    private static boolean fiveVote(StartInstance instance) {
        return instance.log()
                .lines()
                .filter(line -> line.contains("event=members_changed"))
                .reduce((first, second) -> second)
                .filter(line -> line.split("VOTER", -1).length == CONTROL_INSTANCES + 1)
                .isPresent();
    }

    private boolean awaitBack(BooleanSupplier condition, long backNanos) {
        while (System.nanoTime() - backNanos < RECOVERY_NANOS) {
            if (condition.getAsBoolean()) {
                return true;
            }
            Waiting.pause();
        }
        return false;
    }

    /** Writes a document with the next version; returns whether an instance confirmed it. */
    private boolean writeNext() {
        mVersion++;
        String document = "{\"version\":" + mVersion + ",\"services\":[],\"tenants\":[]}";
        int number = (int) (1 + mVersion % CONTROL_INSTANCES);
        boolean confirmed =
                status(
                                HttpRequest.newBuilder(uri(number, ControlService.PUT_ROUTING))
                                        .POST(HttpRequest.BodyPublishers.ofString(document)))
                        == 200;
        if (confirmed) {
            mConfirmed = mVersion;
        }
        return confirmed;
    }

    /** Returns the version that any control instance reads, -1 if none does. */
    private long readVersion() {
        return IntStream.rangeClosed(1, CONTROL_INSTANCES)
                .mapToLong(number -> version(send(read(number))))
                .max()
                .orElse(-1);
    }

    private HttpRequest.Builder read(int number) {
        return HttpRequest.newBuilder(uri(number, ControlService.READ_ROUTING)).GET();
    }

    private static long version(Stream<String> bodies) {
        return bodies.map(VERSION::matcher)
                .filter(Matcher::find)
                .mapToLong(matcher -> Long.parseLong(matcher.group(1)))
                .findFirst()
                .orElse(-1);
    }

    private int status(HttpRequest.Builder request) {
        try {
            return mClient.send(
                            request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException down) {
            Waiting.pause();
            return -1;
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private Stream<String> send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response =
                    mClient.send(
                            request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? Stream.of(response.body()) : Stream.empty();
        } catch (IOException down) {
            return Stream.empty();
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }

    private List<String> seedAddresses() {
        return IntStream.rangeClosed(1, SEEDS).mapToObj(this::address).toList();
    }

    private URI uri(int number, String path) {
        return URI.create("http://" + address(number) + ":" + StartInstance.CONTROL_PORT + path);
    }

    private String address(int number) {
        return "127.80." + mNetwork + "." + number;
    }

    private static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
