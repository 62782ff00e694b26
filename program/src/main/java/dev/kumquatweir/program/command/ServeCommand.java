package dev.kumquatweir.program.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.core.failure.FailureException;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.program.control.ReplicatedControl;
import dev.kumquatweir.program.instance.InstanceDaemon;
import dev.kumquatweir.program.instance.StartRetry;
import dev.kumquatweir.program.log.RingLogHandler;
import dev.kumquatweir.settings.ConfigurationReader;
import dev.kumquatweir.settings.ConfigurationWriter;
import dev.kumquatweir.settings.InstanceSettings;
import dev.kumquatweir.settings.InstanceSettingsReader;
import dev.kumquatweir.settings.PeerSettings;
import dev.kumquatweir.settings.SettingsFailure;
import dev.kumquatweir.transport.ClusterKey;
import dev.kumquatweir.transport.PeerNetwork;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;

/** Runs an instance with a fixed list of peers until it receives SIGTERM. */
@Command(name = "serve", description = "Run an instance of the system")
@Examples(
        examples = "kumquatweir serve /etc/kumquatweir/entry-1.toml",
        descriptions = "Runs the instance that the settings describe")
public final class ServeCommand implements Callable<Integer> {
    private static final EventLog LOG = EventLog.of(ServeCommand.class);

    @Arguments(title = "FILE", description = "Settings of the instance, in TOML")
    @Required
    private String mFile = "";

    @Override
    public Integer call() {
        RingLogHandler.useStandardOutput();
        Either<SettingsFailure, InstanceSettings> settings =
                InstanceSettingsReader.readFile(Path.of(mFile));
        if (settings.isLeft()) {
            LOG.failure("settings_refused", settings.getLeft());
            System.err.println(settings.getLeft().message());
            return ExitStatus.BAD_INPUT.code();
        }
        ServiceProcess process = new ServiceProcess(Optional.empty());
        return process.run(() -> serve(settings.get(), process)).code();
    }

    private static ExitStatus serve(InstanceSettings settings, ServiceProcess process)
            throws InterruptedException {
        Clocks clocks = Clocks.system();
        Optional<Bytes> firstConfiguration =
                settings.firstConfiguration()
                        .map(file -> orThrow(ConfigurationReader.readFile(file)))
                        .map(ConfigurationWriter::toStored);
        PeerNetwork network =
                StartRetry.await("listen_for_peers", clocks, () -> openNetwork(settings, clocks));
        ReplicatedControl control =
                ReplicatedControl.open(
                        settings,
                        network,
                        clocks,
                        settings.dataFolder().map(folder -> () -> ProcessSupport.openStore(folder)),
                        firstConfiguration,
                        ProcessSupport::haltProcess);
        InstanceDaemon daemon =
                new InstanceDaemon(settings, control, network, clocks, clocks.nowMillis());
        daemon.start();
        process.onStop(
                () -> {
                    daemon.stop();
                    network.close();
                });
        new CountDownLatch(1).await();
        return ExitStatus.SUCCESS;
    }

    private static Either<? extends Failure, PeerNetwork> openNetwork(
            InstanceSettings settings, Clocks clocks) {
        Map<InstanceId, InetSocketAddress> peers =
                settings.peers().stream()
                        .collect(Collectors.toMap(PeerSettings::id, PeerSettings::address));
        ClusterKey key = ClusterKey.of(settings.clusterKey().getBytes(StandardCharsets.UTF_8));
        return PeerNetwork.builder(
                        settings.id(), settings.cluster(), key, settings.self().address())
                .peers(peers)
                .clock(clocks.monotonicNanos())
                .open();
    }

    private static <T> T orThrow(Either<? extends Failure, T> result) {
        return result.getOrElseThrow(FailureException::new);
    }
}
