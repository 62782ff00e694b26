package dev.kumquatweir.transport;

import static dev.kumquatweir.transport.TestSupport.ALPHA;
import static dev.kumquatweir.transport.TestSupport.BETA;
import static dev.kumquatweir.transport.TestSupport.ECHO;
import static dev.kumquatweir.transport.TestSupport.LONG_NANOS;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerNetworkTest {
    private static final PeerLimits LIMITS = PeerLimits.defaults();
    private static final Bytes HELLO = Bytes.ofText("hello");

    /** Guards against payloads that are cut or changed, from empty to the largest. */
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 65_536, 16 * 1024 * 1024 - Frame.OVERHEAD_BYTES})
    void requestReturnsTheAnswer(int size) {
        byte[] content = new byte[size];
        new java.util.Random(size).nextBytes(content);
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            TestSupport.awaitConnected(alpha, BETA);
            Bytes payload = Bytes.copyOf(content);
            Either<TransportFailure, Bytes> answer =
                    TestSupport.join(alpha.request(BETA, ECHO, payload, LONG_NANOS));
            assertThat(answer, is(Either.right(payload)));
        }
    }

    /** Guards against answers that meet the request of another thread. */
    @Test
    void concurrentRequestsGetTheirOwnAnswers() {
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            // Answers come from another thread and in another order than the requests.
            ConcurrentLinkedQueue<Runnable> waiting = new ConcurrentLinkedQueue<>();
            beta.handle(
                    2, (peer, payload, responder) -> waiting.add(() -> responder.respond(payload)));
            TestSupport.awaitConnected(alpha, BETA);
            List<CompletableFuture<Either<TransportFailure, Bytes>>> answers = new ArrayList<>();
            for (int number = 0; number < 500; number++) {
                Bytes payload = Bytes.ofText("request " + number);
                answers.add(alpha.request(BETA, 2, payload, LONG_NANOS));
            }
            TestSupport.await(() -> waiting.size() == 500, "all requests");
            new ArrayList<>(waiting).reversed().forEach(Runnable::run);
            for (int number = 0; number < 500; number++) {
                Either<TransportFailure, Bytes> answer = TestSupport.join(answers.get(number));
                assertThat(answer.get().toText(), is("request " + number));
            }
        }
    }

    /** Guards against one-way frames that are lost or reordered on a healthy connection. */
    @Test
    void oneWayFramesArriveInOrder() throws InterruptedException {
        List<String> received = new ArrayList<>();
        CountDownLatch all = new CountDownLatch(100);
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            beta.handle(
                    2,
                    (peer, payload, responder) -> {
                        received.add(peer + payload.toText());
                        all.countDown();
                    });
            TestSupport.awaitConnected(alpha, BETA);
            List<String> expected = new ArrayList<>();
            for (int number = 0; number < 100; number++) {
                expected.add("alpha" + number);
                assertThat(alpha.send(BETA, 2, Bytes.ofText("" + number)).isEmpty(), is(true));
            }
            assertThat(all.await(60, TimeUnit.SECONDS), is(true));
            assertThat(received, is(expected));
        }
    }

    /** Guards against requests that wait for their time limit although their end is known. */
    @Test
    void requestsThatCanNotBeServedFailTyped() {
        try (PeerNetwork beta = TestSupport.beta();
                PeerNetwork alpha = TestSupport.alphaDialling(beta.localAddress(), LIMITS)) {
            assertFailure(alpha, new InstanceId("gamma"), 1, HELLO, "unknown_peer", Executed.NO);
            TestSupport.awaitConnected(alpha, BETA);
            beta.handle(
                    3,
                    (peer, payload, responder) -> {
                        throw new IllegalStateException("fault under test");
                    });
            assertFailure(alpha, BETA, 2, HELLO, "refused_by_peer", Executed.NO);
            assertFailure(alpha, BETA, 3, HELLO, "refused_by_peer", Executed.UNKNOWN);
            Bytes large = Bytes.copyOf(new byte[LIMITS.frameBytes()]);
            assertFailure(alpha, BETA, ECHO, large, "payload_too_large", Executed.NO);
            beta.close();
            TestSupport.await(() -> !alpha.connected(BETA), "loss of the connection");
            assertFailure(alpha, BETA, ECHO, HELLO, "not_connected", Executed.NO);
        }
    }

    /** Guards against a peer that is unreachable for good after its restart. */
    @Test
    void restartedPeerIsReachedAgain() {
        PeerNetwork first = TestSupport.beta();
        first.handle(2, (peer, payload, responder) -> {});
        try (PeerNetwork alpha = TestSupport.alphaDialling(first.localAddress(), LIMITS)) {
            TestSupport.awaitConnected(alpha, BETA);
            CompletableFuture<Either<TransportFailure, Bytes>> open =
                    alpha.request(BETA, 2, HELLO, LONG_NANOS);
            TestSupport.await(() -> first.statistics().receivedFrames() > 2, "the request");
            first.close();
            TransportFailure failure = TestSupport.join(open).getLeft();
            assertThat(failure, instanceOf(TransportFailure.ConnectionLost.class));
            assertThat(failure.executed(), is(Executed.UNKNOWN));
            PeerNetwork.Builder second =
                    PeerNetwork.builder(
                                    BETA,
                                    TestSupport.CLUSTER,
                                    TestSupport.KEY,
                                    first.localAddress())
                            .acceptUnlisted(true)
                            .handle(ECHO, (peer, payload, responder) -> responder.respond(payload));
            try (PeerNetwork restarted = second.open().get()) {
                TestSupport.awaitConnected(alpha, BETA);
                assertThat(restarted.localAddress(), is(first.localAddress()));
                assertThat(
                        TestSupport.join(alpha.request(BETA, ECHO, HELLO, LONG_NANOS)).get(),
                        is(HELLO));
            }
        }
    }

    /** Guards against frames to members that left, and against members that are never dialled. */
    @Test
    void memberListChangesAtRunTime() {
        try (PeerNetwork beta = TestSupport.builder(BETA).open().get();
                PeerNetwork alpha = TestSupport.builder(ALPHA).open().get()) {
            alpha.peers(Map.of(BETA, beta.localAddress()));
            TestSupport.awaitFailure(alpha, BETA, TransportFailure.ConnectionLost.class);
            beta.peers(Map.of(ALPHA, alpha.localAddress(), BETA, beta.localAddress()));
            TestSupport.awaitConnected(alpha, BETA);
            TestSupport.awaitConnected(beta, ALPHA);
            alpha.peers(Map.of());
            assertFailure(alpha, BETA, ECHO, HELLO, "unknown_peer", Executed.NO);
            TestSupport.await(() -> !beta.connected(ALPHA), "loss of the inbound connection");
            TestSupport.await(() -> alpha.statistics().connections() <= 1, "closed connections");
        }
    }

    /** Guards against a listen address in use that ends in an exception. */
    @Test
    void addressInUseIsTypedFailure() {
        try (PeerNetwork beta = TestSupport.beta()) {
            Either<TransportFailure, PeerNetwork> second =
                    PeerNetwork.builder(
                                    ALPHA,
                                    TestSupport.CLUSTER,
                                    TestSupport.KEY,
                                    beta.localAddress())
                            .open();
            assertThat(second.getLeft(), instanceOf(TransportFailure.ListenFailed.class));
        }
    }

    private static void assertFailure(
            PeerNetwork network,
            InstanceId peer,
            int type,
            Bytes payload,
            String code,
            Executed ran) {
        TransportFailure failure =
                TestSupport.join(network.request(peer, type, payload, LONG_NANOS)).getLeft();
        assertThat(failure.code(), is(code));
        assertThat(failure.executed(), is(ran));
    }
}
