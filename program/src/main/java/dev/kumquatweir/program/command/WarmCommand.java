package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Command;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.fleet.FleetDaemon;
import dev.kumquatweir.settings.ConnectionSettings;
import dev.kumquatweir.settings.FleetSettings;
import dev.kumquatweir.settings.SchedulingSettings;
import io.servicetalk.http.api.BlockingHttpClient;
import io.servicetalk.http.netty.HttpClients;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

/**
 * Starts an instance on the loopback address, sends it one request and exits. The build runs it to
 * record the classes that an instance loads for the class data sharing archive.
 */
@Command(name = "warm", hidden = true, description = "Load the classes of an instance and exit")
public final class WarmCommand implements Callable<Integer> {
    private static final EventLog LOG = EventLog.of(WarmCommand.class);
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final String ADDRESS = "127.0.0.1";

    @Override
    public Integer call() throws Exception {
        ProcessSupport.ignoreHangupSignal();
        Path folder = Files.createTempDirectory("kumquatweir-warm");
        FleetSettings settings = settings(folder);
        FleetDaemon daemon =
                new FleetDaemon(
                        settings,
                        Clocks.system(),
                        () -> ProcessSupport.openStore(folder),
                        ProcessSupport::haltProcess);
        daemon.start();
        InetSocketAddress callers = settings.callers().orElseThrow();
        try (BlockingHttpClient client = HttpClients.forResolvedAddress(callers).buildBlocking()) {
            LOG.info("answered", "status", client.request(client.get("/")).status());
        }
        while (!daemon.warm()) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        daemon.stop();
        return ExitStatus.SUCCESS.code();
    }

    private static FleetSettings settings(Path folder) throws IOException {
        InstanceId instance = new InstanceId(ADDRESS);
        return new FleetSettings(
                "warm",
                instance,
                new FailureDomain("warm"),
                "warm",
                "key-of-the-warm-instance",
                List.of(instance),
                unusedAddress().getPort(),
                Optional.of(unusedAddress()),
                Optional.of(unusedAddress()),
                Optional.of(unusedAddress()),
                unusedAddress(),
                Optional.of(folder),
                true,
                0,
                0,
                0,
                0,
                1,
                ConnectionSettings.DEFAULTS,
                SchedulingSettings.NONE);
    }

    private static InetSocketAddress unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
