package dev.kumquatweir.transport;

import static dev.kumquatweir.transport.TestSupport.BETA;
import static dev.kumquatweir.transport.TestSupport.ECHO;
import static dev.kumquatweir.transport.TestSupport.LONG_NANOS;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Prints figures and checks no bounds. Its name keeps it out of the normal run; start it with
 * {@code ./build -pl transport -am test -Dtest=TransportMeasurement
 * -Dsurefire.failIfNoSpecifiedTests=false}.
 */
class TransportMeasurement {
    private static final long MEASURED_NANOS = TimeUnit.SECONDS.toNanos(5);

    @ParameterizedTest
    @CsvSource({"100,1", "100,64", "65536,1", "65536,16"})
    void roundTrips(int payloadBytes, int concurrent) throws InterruptedException {
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha =
                        TestSupport.alphaDialling(beta.localAddress(), PeerLimits.defaults())) {
            TestSupport.awaitConnected(alpha, BETA);
            Bytes payload = Bytes.copyOf(new byte[payloadBytes]);
            run(alpha, payload, concurrent, TimeUnit.SECONDS.toNanos(2));
            long start = System.nanoTime();
            long[] latencies = run(alpha, payload, concurrent, MEASURED_NANOS);
            double seconds = (System.nanoTime() - start) / 1e9;
            Arrays.sort(latencies);
            System.out.printf(
                    "FIGURE round_trips payload_bytes=%d concurrent=%d per_second=%.0f p50_us=%.1f"
                            + " p99_us=%.1f%n",
                    payloadBytes,
                    concurrent,
                    latencies.length / seconds,
                    latencies[latencies.length / 2] / 1e3,
                    latencies[latencies.length * 99 / 100] / 1e3);
        }
    }

    private static long[] run(PeerNetwork alpha, Bytes payload, int concurrent, long durationNanos)
            throws InterruptedException {
        long end = System.nanoTime() + durationNanos;
        Semaphore permits = new Semaphore(concurrent);
        List<long[]> finished = new ArrayList<>();
        while (System.nanoTime() - end < 0) {
            permits.acquire();
            long[] latency = {System.nanoTime()};
            CompletableFuture<Either<TransportFailure, Bytes>> unused =
                    alpha.request(BETA, ECHO, payload, LONG_NANOS)
                            .whenComplete(
                                    (answer, fault) -> {
                                        answer.get();
                                        latency[0] = System.nanoTime() - latency[0];
                                        permits.release();
                                    });
            finished.add(latency);
        }
        permits.acquire(concurrent);
        return finished.stream().mapToLong(latency -> latency[0]).toArray();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 8, 16, 32})
    void idleMesh(int size) throws InterruptedException {
        List<PeerNetwork> networks = new ArrayList<>();
        Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
        for (int number = 0; number < size; number++) {
            InstanceId self = new InstanceId("instance-" + number);
            PeerNetwork network = TestSupport.builder(self).open().get();
            networks.add(network);
            addresses.put(self, network.localAddress());
        }
        networks.forEach(network -> network.peers(addresses));
        int connections = 2 * (size - 1);
        TestSupport.await(
                () ->
                        networks.stream()
                                .allMatch(
                                        network ->
                                                network.statistics().connections() == connections
                                                        && addresses.keySet().stream()
                                                                        .filter(network::connected)
                                                                        .count()
                                                                == size - 1),
                "the full mesh");
        TimeUnit.SECONDS.sleep(3);
        long startBytes = sentBytes(networks);
        long startCpu = ioThreadNanos();
        long start = System.nanoTime();
        TimeUnit.SECONDS.sleep(20);
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf(
                "FIGURE idle_mesh peers=%d connections_each=%d cpu_percent_of_core_each=%.4f"
                        + " sent_bytes_per_second_each=%.0f%n",
                size,
                connections,
                100 * (ioThreadNanos() - startCpu) / 1e9 / seconds / size,
                (sentBytes(networks) - startBytes) / seconds / size);
        networks.forEach(PeerNetwork::close);
    }

    private static long sentBytes(List<PeerNetwork> networks) {
        return networks.stream().mapToLong(network -> network.statistics().sentBytes()).sum();
    }

    private static long ioThreadNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return Arrays.stream(threads.getThreadInfo(threads.getAllThreadIds()))
                .filter(thread -> thread != null && thread.getThreadName().equals("peer-io"))
                .mapToLong(thread -> Math.max(0, threads.getThreadCpuTime(thread.getThreadId())))
                .sum();
    }
}
