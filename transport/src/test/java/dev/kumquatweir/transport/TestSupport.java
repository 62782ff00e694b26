package dev.kumquatweir.transport;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** What the tests of this module share. */
final class TestSupport {
    static final String CLUSTER = "cluster-under-test";
    static final ClusterKey KEY = key("0123456789abcdef0123456789abcdef");
    static final InstanceId ALPHA = new InstanceId("alpha");
    static final InstanceId BETA = new InstanceId("beta");
    static final int ECHO = 1;
    static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(30);

    private TestSupport() {}

    static ClusterKey key(String secret) {
        return ClusterKey.of(secret.getBytes(StandardCharsets.UTF_8));
    }

    static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    static PeerNetwork.Builder builder(InstanceId self) {
        return PeerNetwork.builder(self, CLUSTER, KEY, anyPort())
                .handle(ECHO, (peer, payload, responder) -> responder.respond(payload));
    }

    /** Opens alpha, which dials beta at an address, and lists it only. */
    static PeerNetwork alphaDialling(InetSocketAddress beta, PeerLimits limits) {
        return builder(ALPHA).limits(limits).peers(Map.of(BETA, beta)).open().get();
    }

    /** Opens beta, which accepts any authenticated instance and dials nobody. */
    static PeerNetwork beta() {
        return builder(BETA).acceptUnlisted(true).open().get();
    }

    static Either<TransportFailure, Bytes> join(
            CompletableFuture<Either<TransportFailure, Bytes>> future) {
        return future.orTimeout(60, TimeUnit.SECONDS).join();
    }

    static void awaitConnected(PeerNetwork network, InstanceId peer) {
        await(() -> network.connected(peer), "connection to " + peer);
    }

    static void awaitFailure(
            PeerNetwork network, InstanceId peer, Class<? extends TransportFailure> type) {
        await(() -> network.lastFailure(peer).exists(type::isInstance), type.getSimpleName());
    }

    /** Polls with a limit that only a fault reaches. */
    static void await(BooleanSupplier condition, String what) {
        long limit = System.nanoTime() + Duration.ofSeconds(60).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - limit > 0) {
                throw new AssertionError("not reached: " + what);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(2);
            } catch (InterruptedException exception) {
                throw new AssertionError(exception);
            }
        }
    }
}
