package dev.kumquatweir.gateway.raw;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A caller that reads an answer as HTTP/1.1 frames it and tells a complete one from one that was
 * cut. Holds no state.
 */
public final class RawCaller {
    /** A caller that waits this long for the end of its answer waits in vain. */
    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 64 << 10;
    private static final int LINE_END = '\n';
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private RawCaller() {}

    /**
     * What a caller got.
     *
     * @param head status line and headers; what came of them if the answer was cut inside
     * @param body the body, without its framing; what came of it if the answer was cut
     * @param complete whether the framing says that the answer is whole
     */
    public record Response(String head, String body, boolean complete) {
        /** Returns the status, 0 if there is none. */
        public int status() {
            String[] words = head.split(" ", 3);
            return words.length < 2 ? 0 : Integer.parseInt(words[1]);
        }

        @Override
        public String toString() {
            return status() + (complete ? " complete " : " cut ") + body.replace("\n", "\\n");
        }
    }

    /** Sends the bytes of a request on a new connection and reads the answer. */
    public static Response call(InetSocketAddress server, String request) throws IOException {
        try (Socket socket = new Socket(server.getAddress(), server.getPort())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Sends a request like {@link #call} but begins to read its answer after a pause. */
    public static Response callSlowly(InetSocketAddress server, String request, long pauseMillis)
            throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            socket.connect(server);
            socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            Thread.sleep(pauseMillis);
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Sends bytes on an open connection. */
    public static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads an answer on an open connection, which has asked for no further one yet. */
    public static Response read(Socket socket) throws IOException {
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return read(new BufferedInputStream(socket.getInputStream()));
    }

    private static Response read(InputStream input) throws IOException {
        Reader reader = new Reader(input);
        String head = reader.readHead();
        if (reader.mCut || hasNoBody(new Response(head, "", true))) {
            return new Response(head, "", !reader.mCut);
        }
        String headers = head.toLowerCase(Locale.ROOT);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int length = headers.indexOf("\r\ncontent-length: ");
        if (headers.contains("\r\ntransfer-encoding: chunked\r\n")) {
            reader.readChunks(body);
        } else if (length >= 0) {
            String value = headers.substring(length + 2).lines().findFirst().orElseThrow();
            reader.readBytes(Integer.parseInt(value.split(": ", 2)[1]), body);
        } else {
            reader.readToEnd(body);
        }
        return new Response(head, body.toString(StandardCharsets.UTF_8), !reader.mCut);
    }

    private static boolean hasNoBody(Response response) {
        return response.status() == NO_CONTENT || response.status() == NOT_MODIFIED;
    }

    /** Reads the parts of an answer and remembers whether one was cut. */
    private static final class Reader {
        private final InputStream mInput;
        private boolean mCut;

        Reader(InputStream input) {
            mInput = input;
        }

        String readHead() throws IOException {
            StringBuilder head = new StringBuilder();
            String line = "";
            do {
                line = readLine();
                head.append(line);
            } while (!mCut && !line.equals("\r\n"));
            return head.toString();
        }

        void readChunks(ByteArrayOutputStream body) throws IOException {
            while (!mCut) {
                String line = readLine();
                if (mCut) {
                    return;
                }
                int size = Integer.parseInt(line.strip(), 16);
                if (size == 0) {
                    mCut = !readLine().equals("\r\n");
                    return;
                }
                readBytes(size, body);
                mCut = mCut || !readLine().equals("\r\n");
            }
        }

        void readBytes(int count, ByteArrayOutputStream body) throws IOException {
            for (int number = 0; number < count && !mCut; number++) {
                int next = next();
                if (next < 0) {
                    mCut = true;
                } else {
                    body.write(next);
                }
            }
        }

        /** Reads a body without framing, which is whole unless the connection is reset. */
        void readToEnd(ByteArrayOutputStream body) throws IOException {
            int next = next();
            while (next >= 0) {
                body.write(next);
                next = next();
            }
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = 0;
            while (next != LINE_END) {
                next = next();
                if (next < 0) {
                    mCut = true;
                    break;
                }
                line.write(next);
            }
            return line.toString(StandardCharsets.UTF_8);
        }

        private int next() throws IOException {
            try {
                return mInput.read();
            } catch (SocketTimeoutException exception) {
                throw new AssertionError("no end of the answer", exception);
            } catch (IOException reset) {
                mCut = true;
                return -1;
            }
        }
    }
}
