package dev.kumquatweir.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.bytes.Bytes;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

class HandshakeTest {
    private static Handshake side(boolean dialler, String cluster, String instance, String key) {
        Handshake.Identity identity =
                new Handshake.Identity(cluster, instance, TestSupport.key(key));
        byte[] challenge = new byte[Handshake.CHALLENGE_BYTES];
        challenge[0] = (byte) (dialler ? 1 : 2);
        return new Handshake(dialler, identity, "remote", challenge, 42);
    }

    /** Guards against a handshake that refuses a peer with the right key. */
    @Test
    void sidesWithTheSameKeyAuthenticateEachOther() {
        Handshake dialler = side(true, "one", "alpha", "key number 00001");
        Handshake acceptor = side(false, "one", "beta", "key number 00001");
        Frame acceptorProof = acceptor.accept(dialler.hello()).get().get();
        Frame diallerProof = dialler.accept(acceptor.hello()).get().get();
        assertThat(acceptor.complete(), is(false));
        dialler.accept(acceptorProof).get();
        acceptor.accept(diallerProof).get();
        assertThat(dialler.complete() && acceptor.complete(), is(true));
        assertThat(acceptor.theirInstance(), is("alpha"));
        assertThat(acceptor.epoch(), is(42L));
    }

    /** Guards against accepting a peer with another key, on either side. */
    @Test
    void bothSidesDetectAnotherKey() {
        Handshake dialler = side(true, "one", "alpha", "key number 00001");
        Handshake acceptor = side(false, "one", "beta", "key number 00002");
        Frame acceptorProof = acceptor.accept(dialler.hello()).get().get();
        Frame diallerProof = dialler.accept(acceptor.hello()).get().get();
        assertFailure(dialler.accept(acceptorProof), TransportFailure.WrongKey.class);
        assertFailure(acceptor.accept(diallerProof), TransportFailure.WrongKey.class);
    }

    /** Guards against a stranger that sends a side's own frames back to it. */
    @Test
    void ownProofSentBackIsRefused() {
        Handshake dialler = side(true, "one", "alpha", "key number 00001");
        Frame proof = dialler.accept(dialler.hello()).get().get();
        assertFailure(dialler.accept(proof), TransportFailure.WrongKey.class);
    }

    /** Guards against a proof that was recorded on an earlier connection. */
    @Test
    void replayedProofIsRefused() {
        Handshake recorded = side(true, "one", "alpha", "key number 00001");
        Handshake first = side(false, "one", "beta", "key number 00001");
        Frame proof = recorded.accept(first.hello()).get().get();
        byte[] fresh = new byte[Handshake.CHALLENGE_BYTES];
        Handshake.Identity beta =
                new Handshake.Identity("one", "beta", TestSupport.key("key number 00001"));
        Handshake second = new Handshake(false, beta, "remote", fresh, 0);
        second.accept(recorded.hello()).get();
        assertFailure(second.accept(proof), TransportFailure.WrongKey.class);
    }

    /** Guards against joining two clusters that share a key by mistake. */
    @Test
    void anotherClusterIsRefused() {
        Handshake dialler = side(true, "one", "alpha", "key number 00001");
        Handshake acceptor = side(false, "two", "beta", "key number 00001");
        assertFailure(acceptor.accept(dialler.hello()), TransportFailure.WrongCluster.class);
    }

    /** Guards against frames that are handled before authentication. */
    @Test
    void otherFramesBeforeTheProofAreRefused() {
        Handshake acceptor = side(false, "one", "beta", "key number 00001");
        Frame request = new Frame(0, FrameKind.REQUEST, 1, 1, Bytes.EMPTY);
        assertFailure(acceptor.accept(request), TransportFailure.MalformedFrame.class);
        acceptor.accept(side(true, "one", "alpha", "key number 00001").hello()).get();
        assertFailure(acceptor.accept(request), TransportFailure.MalformedFrame.class);
    }

    private static void assertFailure(
            Either<TransportFailure, Option<Frame>> result,
            Class<? extends TransportFailure> type) {
        assertThat(result.getLeft(), instanceOf(type));
    }
}
