package dev.kumquatweir.gateway.raw;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/**
 * An upstream that sends exactly the bytes that its script gives it and then ends the connection in
 * the given way. Serves each connection on a thread of its own.
 */
public final class RawUpstream implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int REPEATED_BYTES = 1_024;
    private static final long MAXIMUM_REPEATED_BYTES = 64L << 20;
    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;

    /** Longer than the other side takes to read what was sent before. */
    private static final long PAUSE_MILLIS = 40;

    private final ServerSocket mListener;
    private final Function<Received, Answer> mScript;
    private final List<Received> mRequests = new CopyOnWriteArrayList<>();
    private final List<Integer> mClosedByPeer = new CopyOnWriteArrayList<>();
    private final List<Integer> mReused = new CopyOnWriteArrayList<>();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();

    /** What an upstream does with the connection after the bytes of an answer. */
    public enum Ending {
        /** Waits for the next request. */
        KEEP_OPEN,
        /** Closes the connection. */
        CLOSE,
        /** Closes its sending side and goes on reading until the other side closes. */
        CLOSE_SENDING,
        /** Resets the connection at once. */
        RESET,
        /** Resets the connection once the other side has had time to read the bytes. */
        RESET_LATER,
        /** Repeats the last bytes of the answer until the other side closes, 64 MB at most. */
        WITHOUT_END
    }

    /**
     * An answer.
     *
     * @param bytes its bytes, head included
     * @param ending what follows them
     * @param beforeBody whether it is sent before the body of the request is read
     * @param rest bytes that follow after a pause
     * @param pauseMillis length of the pause
     */
    public record Answer(
            String bytes, Ending ending, boolean beforeBody, String rest, long pauseMillis) {
        /** Creates an answer without a pause. */
        public Answer(String bytes, Ending ending, boolean beforeBody) {
            this(bytes, ending, beforeBody, "", 0);
        }

        /** Creates an answer that follows the whole request and has a pause. */
        public Answer(String bytes, long pauseMillis, String rest) {
            this(bytes, Ending.KEEP_OPEN, false, rest, pauseMillis);
        }

        /** Creates an answer that follows the whole request. */
        public Answer(String bytes, Ending ending) {
            this(bytes, ending, false);
        }
    }

    /**
     * A request.
     *
     * @param connection number of the connection that carried it
     * @param head its request line and headers
     */
    public record Received(int connection, String head) {
        /** Returns the value of a header. */
        public Optional<String> header(String name) {
            String prefix = name.toLowerCase(Locale.ROOT) + ":";
            return head.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
                    .map(line -> line.substring(prefix.length()).strip())
                    .findFirst();
        }
    }

    /**
     * Starts an upstream on a free port.
     *
     * @param script returns the answer to a request
     */
    public RawUpstream(Function<Received, Answer> script) throws IOException {
        mListener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        mScript = script;
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns the address, as {@code ip:port}. */
    public String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Returns the requests so far, in the order of their arrival. */
    public List<Received> requests() {
        return List.copyOf(mRequests);
    }

    /**
     * Returns the connections that the other side closed after {@link Ending#CLOSE_SENDING} or
     * {@link Ending#WITHOUT_END}.
     */
    public List<Integer> closedByPeer() {
        return List.copyOf(mClosedByPeer);
    }

    /** Returns the connections that carried bytes after {@link Ending#CLOSE_SENDING}. */
    public List<Integer> reused() {
        return List.copyOf(mReused);
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void accept() {
        int connections = 0;
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                mSockets.add(socket);
                if (mListener.isClosed()) {
                    // A virtual thread that wakes late still accepts what came after the close.
                    socket.close();
                    return;
                }
                int connection = connections++;
                Thread.ofVirtual().start(() -> serve(socket, connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Ending ending = Ending.KEEP_OPEN;
            while (ending == Ending.KEEP_OPEN) {
                String head = readHead(input);
                if (head.isEmpty()) {
                    return;
                }
                Received received = new Received(connection, head);
                mRequests.add(received);
                Answer answer = mScript.apply(received);
                if (!answer.beforeBody()) {
                    input.readNBytes(
                            received.header("content-length").map(Integer::parseInt).orElse(0));
                }
                OutputStream output = socket.getOutputStream();
                output.write(answer.bytes().getBytes(StandardCharsets.UTF_8));
                output.flush();
                if (!answer.rest().isEmpty()) {
                    Thread.sleep(answer.pauseMillis());
                    output.write(answer.rest().getBytes(StandardCharsets.UTF_8));
                    output.flush();
                }
                ending = answer.ending();
                if (ending == Ending.WITHOUT_END) {
                    repeatEnd(output, answer.bytes(), connection);
                }
            }
            end(socket, input, connection, ending);
        } catch (IOException | InterruptedException closed) {
            // The other side has closed the connection, as it does when it gives up an answer.
        } finally {
            mSockets.remove(socket);
        }
    }

    private void repeatEnd(OutputStream output, String answer, int connection) {
        byte[] end =
                answer.substring(Math.max(0, answer.length() - REPEATED_BYTES))
                        .getBytes(StandardCharsets.UTF_8);
        long sent = 0;
        try {
            while (sent < MAXIMUM_REPEATED_BYTES) {
                output.write(end);
                sent += end.length;
            }
        } catch (IOException closed) {
            mClosedByPeer.add(connection);
        }
    }

    private void end(Socket socket, InputStream input, int connection, Ending ending)
            throws IOException, InterruptedException {
        switch (ending) {
            case KEEP_OPEN, WITHOUT_END -> {}
            // The native transport may have set the option on this socket: it does so on the
            // number of a descriptor that it has closed, which this process has since given out.
            case CLOSE -> socket.setSoLinger(false, 0);
            case CLOSE_SENDING -> {
                socket.shutdownOutput();
                int next = input.read();
                (next < 0 ? mClosedByPeer : mReused).add(connection);
            }
            case RESET -> socket.setSoLinger(true, 0);
            case RESET_LATER -> {
                Thread.sleep(PAUSE_MILLIS);
                socket.setSoLinger(true, 0);
            }
        }
    }

    private static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        String text = "";
        while (!text.endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
            text = next == '\n' ? head.toString(StandardCharsets.UTF_8) : "";
        }
        return text;
    }
}
