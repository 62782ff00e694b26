package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.ControlService;
import dev.kumquatweir.platform.FleetTraffic;
import dev.kumquatweir.platform.KeptConnection;
import dev.kumquatweir.platform.ScriptedUpstream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A control and an entry instance with small heaps, in front of an upstream. */
final class LimitedFleet implements AutoCloseable {
    /** Half of the default, so that few clients are enough to fill it. */
    static final String HEAP = "48m";

    /** Open descriptors of a process that don't bound it in a test. */
    private static final int MANY_DESCRIPTORS = 4_096;

    private static final AtomicInteger NUMBER = new AtomicInteger();

    private final int mDescriptors;
    private final String mControlAddress;
    private final String mEntryAddress;
    private final LocalProcess mControl;
    private final LocalProcess mEntry;
    private final ScriptedUpstream mUpstream;
    private final HttpClient mClient =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

    /** Starts the processes and waits until they serve. */
    LimitedFleet(Path folder) throws IOException {
        this(folder, MANY_DESCRIPTORS);
    }

    /**
     * Starts the processes and waits until they serve.
     *
     * @param descriptors most open descriptors of each process
     */
    LimitedFleet(Path folder, int descriptors) throws IOException {
        mDescriptors = descriptors;
        // Addresses of the loopback network, others for each test process.
        String network =
                "127.%d.%d."
                        .formatted(
                                101 + NUMBER.getAndIncrement() % 100,
                                1 + ProcessHandle.current().pid() % 200);
        mControlAddress = network + "1";
        mEntryAddress = network + "2";
        mControl =
                start(
                        folder,
                        "control",
                        mControlAddress,
                        "data_folder = \"%s\"".formatted(folder.resolve("data")),
                        "control = \"%s:18229\"".formatted(mControlAddress));
        mEntry =
                start(
                        folder,
                        "entry",
                        mEntryAddress,
                        "",
                        "callers = \"%1$s:18080\"\nreadiness = \"%1$s:18081\""
                                .formatted(mEntryAddress));
        mUpstream =
                new ScriptedUpstream(
                        "upstream",
                        new InetSocketAddress(network + "3", 18090),
                        List.of(URI.create("http://" + mControlAddress + ":18229")));
        Waiting.until("the configuration is taken", () -> put() == 200);
        awaitOrdinaryResponse();
    }

    private LocalProcess start(Path folder, String name, String address, String data, String listen)
            throws IOException {
        String text =
                """
                [instance]
                name = "%s"
                address = "%s"
                failure_domain = "a"
                %s
                [cluster]
                name = "limited"
                key = "key-of-the-limits-test"
                seeds = "%s"
                peer_port = 17340
                first_start = true
                lost_disks = 0
                [listen]
                metrics = "%s:19180"
                %s
                """
                        .formatted(name, address, data, mControlAddress, address, listen);
        Path settings = Files.writeString(folder.resolve(name + ".toml"), text);
        return LocalProcess.startWithDescriptors(
                folder.resolve(name + ".log"),
                List.of("fleet", settings.toString()),
                Map.of("KUMQUATWEIR_HEAP", HEAP),
                mDescriptors);
    }

    /** Returns the process that has a listener. */
    LocalProcess process(Port port) {
        return port == Port.CONTROL ? mControl : mEntry;
    }

    ScriptedUpstream upstream() {
        return mUpstream;
    }

    InetSocketAddress address(Port port) {
        return new InetSocketAddress(
                port == Port.CONTROL ? mControlAddress : mEntryAddress, port.mNumber);
    }

    /** Waits until an ordinary request is answered; the process has to live meanwhile. */
    void awaitOrdinaryResponse() {
        Waiting.until(
                "an ordinary request is answered",
                () -> {
                    if (!mControl.alive() || !mEntry.alive()) {
                        throw new AssertionError("a process has ended");
                    }
                    return serves();
                });
    }

    /** Sends a request in the background and drops what comes. */
    void sendAside(FleetTraffic.Request request) {
        Thread.ofVirtual()
                .start(
                        () -> {
                            try (KeptConnection connection =
                                    new KeptConnection(address(Port.CALLERS))) {
                                connection.send(request);
                            } catch (IOException | RuntimeException broken) {
                                // The response may be invalid in any way.
                            }
                        });
    }

    @Override
    public void close() {
        mEntry.close();
        mControl.close();
        mUpstream.close();
        mClient.close();
    }

    /** Listeners that read HTTP. */
    enum Port {
        CALLERS(18080),
        READINESS(18081),
        CONTROL(18229),
        METRICS(19180);

        private final int mNumber;

        Port(int number) {
            mNumber = number;
        }
    }

    /** Returns whether an ordinary request to each listener is answered. */
    boolean serves() {
        FleetTraffic.Request request =
                new FleetTraffic.Request("after", FleetTraffic.Kind.REPEATABLE_CALL, 1);
        try (KeptConnection connection = new KeptConnection(address(Port.CALLERS))) {
            return connection.send(request).status() == 200
                    && status(mEntryAddress + ":18081/readiness") == 200
                    && status(mEntryAddress + ":19180/metrics") == 200
                    && status(mControlAddress + ":18229" + ControlService.READ_ROUTING) == 200;
        } catch (IOException unavailable) {
            return false;
        }
    }

    private int put() {
        return status(
                HttpRequest.newBuilder(uri(mControlAddress + ":18229" + ControlService.PUT_ROUTING))
                        .POST(HttpRequest.BodyPublishers.ofString(FleetTraffic.configuration(1))));
    }

    private int status(String place) {
        return status(HttpRequest.newBuilder(uri(place)).GET());
    }

    private URI uri(String place) {
        return URI.create("http://" + place);
    }

    private int status(HttpRequest.Builder request) {
        try {
            return mClient.send(
                            request.timeout(Duration.ofSeconds(5)).build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
        } catch (IOException unavailable) {
            return 0;
        } catch (InterruptedException exception) {
            throw new AssertionError(exception);
        }
    }
}
