package dev.kumquatweir.transport;

import static dev.kumquatweir.transport.TestSupport.BETA;
import static dev.kumquatweir.transport.TestSupport.ECHO;
import static dev.kumquatweir.transport.TestSupport.LONG_NANOS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Peers, strangers and paths that misbehave. */
class PeerFaultsTest {
    private static final PeerLimits LIMITS = PeerLimits.defaults();
    private static final PeerLimits SHORT_HANDSHAKE =
            LIMITS.withTimes(millis(500), millis(2_000), millis(300));
    private static final Bytes HELLO = Bytes.ofText("hello");

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, TestSupport.anyPort().getAddress());
    }

    private static InetSocketAddress address(ServerSocket server) {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void assertServes(PeerNetwork network, InstanceId peer) {
        // On a machine that stands still for seconds a healthy connection may be replaced.
        TestSupport.await(
                () ->
                        TestSupport.join(network.request(peer, ECHO, HELLO, LONG_NANOS))
                                .equals(Either.right(HELLO)),
                "an answer of " + peer);
    }

    /** Guards against serving instances with another key, cluster or identity. */
    @ParameterizedTest
    @ValueSource(strings = {"wrong_cluster_key", "wrong_cluster", "unexpected_peer"})
    void strangersAreRefusedTyped(String code) {
        String cluster = code.equals("wrong_cluster") ? "another" : TestSupport.CLUSTER;
        ClusterKey key =
                code.equals("wrong_cluster_key")
                        ? TestSupport.key("another key of the right size")
                        : TestSupport.KEY;
        InstanceId self = code.equals("unexpected_peer") ? new InstanceId("gamma") : BETA;
        try (PeerNetwork beta =
                        PeerNetwork.builder(self, cluster, key, TestSupport.anyPort())
                                .acceptUnlisted(true)
                                .open()
                                .get();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            TestSupport.await(
                    () -> alpha.lastFailure(BETA).exists(failure -> failure.code().equals(code)),
                    code);
            assertThat(alpha.connected(BETA), is(false));
        }
    }

    /** Guards against misreading the frames of another release. */
    @Test
    void anotherVersionIsRefusedTyped() throws IOException {
        try (ServerSocket server = listen();
                PeerNetwork alpha = TestSupport.alphaDialling(address(server), LIMITS);
                RawPeer beta = RawPeer.accept(server, BETA)) {
            beta.send(new byte[] {0, 0, 0, 2, (byte) 0x91, 2});
            TestSupport.awaitFailure(alpha, BETA, TransportFailure.WrongVersion.class);
        }
    }

    /** Guards against requests that hang on a path that lost its state, and against keeping it. */
    @Test
    void silentConnectionFailsItsRequestsAndIsReplaced() throws IOException {
        try (PeerNetwork beta = TestSupport.beta();
                Relay relay = new Relay(beta.localAddress());
                PeerNetwork alpha = TestSupport.alphaDialling(relay.address(), LIMITS)) {
            assertServes(alpha, BETA);
            relay.freeze();
            Either<TransportFailure, Bytes> answer =
                    TestSupport.join(alpha.request(BETA, ECHO, HELLO, LONG_NANOS));
            assertThat(answer.getLeft(), instanceOf(TransportFailure.SilentConnection.class));
            assertThat(answer.getLeft().executed(), is(Executed.UNKNOWN));
            assertServes(alpha, BETA);
            assertThat(relay.connections(), greaterThan(1));
        }
    }

    /**
     * Guards against closing a healthy connection as silent because the own I/O thread was held up
     * for longer than the silence limit, while the peer's pings wait unread.
     */
    @Test
    void connectionStaysOpenWhileItsThreadIsHeldUp() {
        PeerLimits patient = LIMITS.withTimes(millis(100), LONG_NANOS, millis(3_000));
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), patient)) {
            beta.handle(
                    2,
                    (peer, payload, responder) -> {
                        LockSupport.parkNanos(LIMITS.silenceNanos() + LIMITS.silenceNanos() / 2);
                        responder.respond(payload);
                    });
            TestSupport.awaitConnected(alpha, BETA);
            assertThat(
                    TestSupport.join(alpha.request(BETA, 2, HELLO, LONG_NANOS)),
                    is(Either.right(HELLO)));
            assertThat(
                    TestSupport.join(alpha.request(BETA, ECHO, HELLO, LONG_NANOS)),
                    is(Either.right(HELLO)));
            assertThat(alpha.lastFailure(BETA), is(Option.none()));
        }
    }

    /** Guards against closing a healthy connection only because it carries no requests. */
    @Test
    void idleConnectionStaysOpen() throws InterruptedException {
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            TestSupport.awaitConnected(alpha, BETA);
            long frames = alpha.statistics().receivedFrames();
            TestSupport.await(
                    () -> alpha.statistics().receivedFrames() >= frames + 5, "five pongs");
            assertThat(alpha.lastFailure(BETA), is(Option.none()));
        }
    }

    /** Guards against a late or repeated answer that meets another request. */
    @Test
    void lateAndRepeatedAnswersAreDropped() throws IOException {
        try (ServerSocket server = listen();
                PeerNetwork alpha = TestSupport.alphaDialling(address(server), LIMITS);
                RawPeer beta = RawPeer.accept(server, BETA).authenticate()) {
            TestSupport.awaitConnected(alpha, BETA);
            TransportFailure timedOut =
                    TestSupport.join(alpha.request(BETA, 1, HELLO, millis(50))).getLeft();
            assertThat(timedOut, is(new TransportFailure.TimedOut("beta", true)));
            Frame first = beta.receive(FrameKind.REQUEST);
            CompletableFuture<Either<TransportFailure, Bytes>> answer =
                    alpha.request(BETA, 1, HELLO, LONG_NANOS);
            Frame second = beta.receive(FrameKind.REQUEST);
            beta.send(response(beta, first, "late"));
            beta.send(response(beta, second, "right"));
            beta.send(response(beta, second, "repeated"));
            assertThat(TestSupport.join(answer).get().toText(), is("right"));
            TestSupport.await(() -> alpha.statistics().lateAnswers() == 2, "dropped answers");
        }
    }

    /** Guards against an answer of an earlier connection that meets a request of this one. */
    @Test
    void frameOfAnotherEpochClosesTheConnection() throws IOException {
        try (ServerSocket server = listen();
                PeerNetwork alpha = TestSupport.alphaDialling(address(server), LIMITS);
                RawPeer beta = RawPeer.accept(server, BETA).authenticate()) {
            TestSupport.awaitConnected(alpha, BETA);
            CompletableFuture<Either<TransportFailure, Bytes>> answer =
                    alpha.request(BETA, 1, HELLO, LONG_NANOS);
            Frame request = beta.receive(FrameKind.REQUEST);
            beta.send(
                    new Frame(
                            beta.epoch() + 1, FrameKind.RESPONSE, request.correlation(), 0, HELLO));
            assertThat(
                    TestSupport.join(answer).getLeft(),
                    instanceOf(TransportFailure.MalformedFrame.class));
        }
    }

    /** Guards against memory without bound for a peer that does not read. */
    @Test
    void fullQueueShedsTyped() throws IOException {
        PeerLimits limits = LIMITS.withOutbound(10, 1_000_000);
        Bytes large = Bytes.copyOf(new byte[500_000]);
        try (ServerSocket server = listen();
                PeerNetwork alpha = TestSupport.alphaDialling(address(server), limits);
                RawPeer beta = RawPeer.accept(server, BETA).authenticate()) {
            TestSupport.awaitConnected(alpha, BETA);
            TestSupport.await(
                    () ->
                            alpha.send(BETA, 1, large)
                                    .exists(TransportFailure.QueueFull.class::isInstance),
                    "a full queue");
            // The system's own socket buffer may still take a frame, so one request may find room.
            List<TransportFailure> shed = new ArrayList<>();
            TestSupport.await(
                    () -> {
                        endedAtOnce(alpha, large)
                                .filter(TransportFailure.QueueFull.class::isInstance)
                                .forEach(shed::add);
                        return !shed.isEmpty();
                    },
                    "a request shed by the full queue");
            TransportFailure failure = shed.getFirst();
            assertThat(failure.executed(), is(Executed.NO));
            assertThat(
                    ((TransportFailure.QueueFull) failure).waitingBytes(),
                    lessThanOrEqualTo(1_000_000L));
            beta.receive(FrameKind.ONE_WAY);
        }
    }

    private static Option<TransportFailure> endedAtOnce(PeerNetwork network, Bytes payload) {
        var request = network.request(BETA, 1, payload, LONG_NANOS);
        return request.isDone() ? request.join().swap().toOption() : Option.none();
    }

    /** Guards against requests without bound to a peer that reads but never answers. */
    @Test
    void unansweredRequestsAreBounded() throws IOException {
        try (ServerSocket server = listen();
                PeerNetwork alpha =
                        TestSupport.alphaDialling(
                                address(server), LIMITS.withUnansweredRequests(3));
                RawPeer beta = RawPeer.accept(server, BETA).authenticate()) {
            TestSupport.awaitConnected(alpha, BETA);
            CompletableFuture<Either<TransportFailure, Bytes>> first =
                    alpha.request(BETA, 1, HELLO, LONG_NANOS);
            assertThat(alpha.request(BETA, 1, HELLO, LONG_NANOS).isDone(), is(false));
            assertThat(alpha.request(BETA, 1, HELLO, LONG_NANOS).isDone(), is(false));
            assertThat(
                    TestSupport.join(alpha.request(BETA, 1, HELLO, LONG_NANOS)).getLeft(),
                    is(new TransportFailure.TooManyRequests("beta", 3)));
            beta.send(response(beta, beta.receive(FrameKind.REQUEST), "room"));
            TestSupport.join(first);
            assertThat(alpha.request(BETA, 1, HELLO, LONG_NANOS).isDone(), is(false));
        }
    }

    /** Guards against one broken or hostile connection that stops service to the others. */
    @ParameterizedTest
    @ValueSource(strings = {"cut in a frame", "oversize", "hello again", "garbage"})
    void brokenAuthenticatedPeerIsClosedAndOthersAreServed(String fault) throws IOException {
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS);
                RawPeer gamma =
                        RawPeer.dial(beta.localAddress(), new InstanceId("gamma")).authenticate()) {
            FrameCodec codec = new FrameCodec();
            Frame request = new Frame(gamma.epoch(), FrameKind.REQUEST, 1, ECHO, HELLO);
            gamma.send(request);
            assertThat(gamma.receive(FrameKind.RESPONSE).payload(), is(HELLO));
            byte[] whole = codec.encode(request);
            switch (fault) {
                case "cut in a frame" -> {
                    gamma.send(Arrays.copyOf(whole, whole.length - 3));
                    gamma.close();
                }
                case "oversize" ->
                        gamma.send(ByteBuffer.allocate(4).putInt(LIMITS.frameBytes() + 1).array());
                case "hello again" ->
                        gamma.send(new Frame(gamma.epoch(), FrameKind.HELLO, 0, 0, Bytes.EMPTY));
                default -> gamma.send(new byte[] {0, 0, 0, 3, 1, 2, 3});
            }
            gamma.awaitClosed();
            TestSupport.await(() -> beta.statistics().connections() == 1, "closed connection");
            assertServes(alpha, BETA);
        }
    }

    /** Guards against strangers whose bytes end the thread or reach a handler. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void garbageFromStrangersIsRefused(long seed) throws IOException {
        Random random = new Random(seed);
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            for (int round = 0; round < 25; round++) {
                byte[] garbage = new byte[1 + random.nextInt(2_000)];
                random.nextBytes(garbage);
                if (random.nextBoolean()) {
                    // A length that is allowed, so that the content is decoded.
                    ByteBuffer.wrap(garbage.length < 4 ? new byte[4] : garbage)
                            .putInt(Math.min(900, Math.max(0, garbage.length - 4)));
                }
                try (RawPeer stranger =
                        RawPeer.dial(beta.localAddress(), new InstanceId("gamma"))) {
                    stranger.send(garbage);
                }
            }
            TestSupport.await(() -> beta.statistics().connections() == 1, "closed connections");
            assertServes(alpha, BETA);
        }
    }

    /** Guards against strangers that take all connections. */
    @Test
    void unauthenticatedConnectionsAreFew() throws IOException {
        PeerLimits limits =
                LIMITS.withTimes(millis(500), millis(2_000), TimeUnit.HOURS.toNanos(1))
                        .withConnections(8, 2);
        InstanceId gamma = new InstanceId("gamma");
        try (PeerNetwork beta =
                        TestSupport.builder(BETA).limits(limits).acceptUnlisted(true).open().get();
                RawPeer first = RawPeer.dial(beta.localAddress(), gamma);
                RawPeer second = RawPeer.dial(beta.localAddress(), gamma);
                RawPeer third = RawPeer.dial(beta.localAddress(), gamma)) {
            third.awaitClosed();
            first.authenticate();
            second.close();
            try (PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
                assertServes(alpha, BETA);
            }
        }
    }

    /** Guards against connections that never authenticate and stay open. */
    @Test
    void unauthenticatedConnectionIsClosedAfterItsTime() throws IOException {
        try (PeerNetwork beta = TestSupport.builder(BETA).limits(SHORT_HANDSHAKE).open().get();
                RawPeer stranger = RawPeer.dial(beta.localAddress(), new InstanceId("gamma"))) {
            stranger.awaitClosed();
        }
    }

    /** Guards against more authenticated peers than the instance has memory for. */
    @Test
    void authenticatedConnectionsAreBounded() {
        PeerLimits limits = LIMITS.withConnections(1, 8);
        try (PeerNetwork beta =
                        TestSupport.builder(BETA).limits(limits).acceptUnlisted(true).open().get();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            assertServes(alpha, BETA);
            try (PeerNetwork gamma =
                    TestSupport.builder(new InstanceId("gamma"))
                            .peers(Map.of(BETA, beta.localAddress()))
                            .open()
                            .get()) {
                TestSupport.awaitFailure(gamma, BETA, TransportFailure.ConnectionLost.class);
            }
            assertServes(alpha, BETA);
        }
    }

    private static Frame response(RawPeer peer, Frame request, String text) {
        return new Frame(
                peer.epoch(), FrameKind.RESPONSE, request.correlation(), 0, Bytes.ofText(text));
    }
}
