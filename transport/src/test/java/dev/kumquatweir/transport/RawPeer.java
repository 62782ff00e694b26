package dev.kumquatweir.transport;

import dev.kumquatweir.core.identity.InstanceId;
import io.vavr.control.Option;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** The far end of one connection, written by hand so that a test can break the protocol. */
final class RawPeer implements AutoCloseable {
    private static final byte[] CHALLENGE = new byte[Handshake.CHALLENGE_BYTES];

    // Only a fault reaches it.
    private static final int LIMIT_MILLIS = 60_000;

    private final Socket mSocket;
    private final DataInputStream mInput;
    private final FrameCodec mCodec = new FrameCodec();
    private final Handshake mHandshake;

    private RawPeer(Socket socket, boolean dialler, InstanceId self) throws IOException {
        mSocket = socket;
        mSocket.setSoTimeout(LIMIT_MILLIS);
        mInput = new DataInputStream(socket.getInputStream());
        Handshake.Identity identity =
                new Handshake.Identity(TestSupport.CLUSTER, self.value(), TestSupport.KEY);
        mHandshake = new Handshake(dialler, identity, "network", CHALLENGE, 77);
    }

    static RawPeer dial(InetSocketAddress address, InstanceId self) throws IOException {
        return new RawPeer(new Socket(address.getAddress(), address.getPort()), true, self);
    }

    static RawPeer accept(ServerSocket server, InstanceId self) throws IOException {
        return new RawPeer(server.accept(), false, self);
    }

    RawPeer authenticate() throws IOException {
        send(mHandshake.hello());
        while (!mHandshake.complete()) {
            Option<Frame> answer = mHandshake.accept(receive()).get();
            if (answer.isDefined()) {
                send(answer.get());
            }
        }
        return this;
    }

    long epoch() {
        return mHandshake.epoch();
    }

    Frame receive() throws IOException {
        byte[] content = new byte[mInput.readInt()];
        mInput.readFully(content);
        return FrameCodec.decode("network", content).get();
    }

    /** Receives until a frame of a kind comes. */
    Frame receive(FrameKind kind) throws IOException {
        Frame frame = receive();
        while (frame.kind() != kind) {
            frame = receive();
        }
        return frame;
    }

    void send(Frame frame) throws IOException {
        send(mCodec.encode(frame));
    }

    void send(byte[] bytes) throws IOException {
        mSocket.getOutputStream().write(bytes);
    }

    /** Reads until the network closes the connection. */
    void awaitClosed() {
        byte[] buffer = new byte[1024];
        try {
            while (mInput.read(buffer) >= 0) {
                // Hellos and pings are of no interest here.
            }
        } catch (SocketTimeoutException open) {
            throw new AssertionError("the connection stays open", open);
        } catch (IOException reset) {
            // A reset is a way to close, too.
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
