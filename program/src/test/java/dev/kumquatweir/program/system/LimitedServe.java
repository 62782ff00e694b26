package dev.kumquatweir.program.system;

import dev.kumquatweir.core.configuration.ApiKeyHash;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** An instance of {@code serve} with a small heap. Its listeners have the numbers 0 to 3. */
final class LimitedServe implements AutoCloseable {
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

            [[teams]]
            name = "ipoh"
            key_salt = "0a0b"
            key_sha256 = "%s"
            default_profile = "hold"
            """
                    .formatted(ApiKeyHash.of("0a0b", LocalCluster.TEAM_KEY).digest());

    private final int[] mPorts = new int[LISTENERS];
    private final LocalProcess mProcess;

    /** Starts the process and waits until it serves. */
    LimitedServe(Path folder) throws IOException {
        for (int number = 0; number < LISTENERS; number++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                mPorts[number] = socket.getLocalPort();
            }
        }
        Files.writeString(folder.resolve("configuration.toml"), CONFIGURATION);
        Path settings = Files.writeString(folder.resolve("serve.toml"), settings(mPorts));
        mProcess =
                LocalProcess.start(
                        folder.resolve("serve.log"),
                        List.of("serve", settings.toString()),
                        Map.of("KUMQUATWEIR_HEAP", LimitedFleet.HEAP));
        awaitOrdinaryResponse();
    }

    LocalProcess process() {
        return mProcess;
    }

    InetSocketAddress address(int listener) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mPorts[listener]);
    }

    /** Waits until an ordinary request is answered; the process has to live meanwhile. */
    void awaitOrdinaryResponse() {
        Waiting.until(
                "an ordinary request is answered",
                () -> {
                    if (!mProcess.alive()) {
                        throw new AssertionError("the process has ended");
                    }
                    return Caller.status("http://127.0.0.1:" + mPorts[0] + "/health/ready") == 200;
                });
    }

    @Override
    public void close() {
        mProcess.close();
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
