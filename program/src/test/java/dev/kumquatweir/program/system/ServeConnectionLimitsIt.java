package dev.kumquatweir.program.system;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A {@code serve} process under clients that send without end. Guards against a process that runs
 * out of memory or descriptors, or that no longer answers ordinary requests.
 */
final class ServeConnectionLimitsIt {
    private static final int LISTENERS = 4;

    private static final String CONFIGURATION =
            """
            [[services]]
            name = "bookings"
            kind = "service"
            profile = "hold"

            [[profiles]]
            name = "hold"
            service = "bookings"
            class = "action"
            """;

    @TempDir private Path mFolder;

    @ParameterizedTest
    @CsvSource({
        "0, HEADER_FIELDS",
        "0, ONE_FIELD",
        "0, EMPTY_LINES",
        "0, TRAILERS",
        "0, CHUNK_EXTENSION",
        "0, PIPELINED",
        "1, HEADER_FIELDS",
        "1, TRAILERS",
        "2, HEADER_FIELDS",
        "2, TRAILERS"
    })
    void listenersStayWithinTheirMemory(int listener, OffendingPattern pattern) throws IOException {
        int[] ports = new int[LISTENERS];
        for (int number = 0; number < LISTENERS; number++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports[number] = socket.getLocalPort();
            }
        }
        Files.writeString(mFolder.resolve("configuration.toml"), CONFIGURATION);
        Path settings = Files.writeString(mFolder.resolve("serve.toml"), settings(ports));
        try (LocalProcess process =
                LocalProcess.start(
                        mFolder.resolve("serve.log"),
                        List.of("serve", settings.toString()),
                        Map.of("KUMQUATWEIR_HEAP", LimitedFleet.HEAP))) {
            awaitOrdinaryResponse(process, ports);
            ProcessBounds bounds = new ProcessBounds(process);
            try (OffendingClients clients =
                    pattern.start(
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), ports[listener]),
                            "POST /v1/x HTTP/1.1\r\nHost: a\r\n")) {
                bounds.check("serve " + listener + " " + pattern, clients.awaitEnd());
                awaitOrdinaryResponse(process, ports);
            }
        }
    }

    private static void awaitOrdinaryResponse(LocalProcess process, int[] ports) {
        Waiting.until(
                "an ordinary request is answered",
                () ->
                        process.alive()
                                && Caller.status("http://127.0.0.1:" + ports[0] + "/health/ready")
                                        == 200);
    }

    private static String settings(int[] ports) {
        return """
        [instance]
        id = "entry-1"
        failure_domain = "a"
        data_folder = "data"
        [listen]
        caller = "127.0.0.1:%d"
        upstream = "127.0.0.1:%d"
        operator = "127.0.0.1:%d"
        [cluster]
        name = "limits"
        key = "cluster-key-of-the-test"
        announce_key = "announce-key-of-the-test"
        first_configuration = "configuration.toml"
        [[cluster.instances]]
        id = "entry-1"
        address = "127.0.0.1:%d"
        failure_domain = "a"
        voter = true
        """
                .formatted(ports[0], ports[1], ports[2], ports[3]);
    }
}
