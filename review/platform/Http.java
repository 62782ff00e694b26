package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 codec on blocking sockets. */
final class Http {
    private Http() {}

    /** First line, headers (names in lower case) and body of a message. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ", 3)[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** A kept channel to one address; used by one thread. */
    static final class Channel implements AutoCloseable {
        private final Socket mSocket = new Socket();
        private final InputStream mInput;
        private final OutputStream mOutput;

        Channel(InetSocketAddress address, int connectMillis) throws IOException {
            try {
                mSocket.setTcpNoDelay(true);
                mSocket.connect(address, connectMillis);
                mInput = new BufferedInputStream(mSocket.getInputStream());
                mOutput = mSocket.getOutputStream();
            } catch (IOException exception) {
                mSocket.close();
                throw exception;
            }
        }

        Message exchange(
                String method, String path, Map<String, String> headers, String body, int millis)
                throws IOException {
            mSocket.setSoTimeout(millis);
            send(method, path, headers, body);
            return read(mInput);
        }

        void send(String method, String path, Map<String, String> headers, String body)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            byte[] content = body.getBytes(StandardCharsets.ISO_8859_1);
            if (content.length > 0 || method.equals("POST")) {
                head.append("Content-Length: " + content.length + "\r\n");
            }
            byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[start.length + content.length];
            System.arraycopy(start, 0, all, 0, start.length);
            System.arraycopy(content, 0, all, start.length, content.length);
            mOutput.write(all);
            mOutput.flush();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }

    /** Sends one request on a new channel, which is closed afterwards. */
    static Message call(
            InetSocketAddress address,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            int millis)
            throws IOException {
        try (Channel channel = new Channel(address, millis)) {
            return channel.exchange(method, path, headers, body, millis);
        }
    }

    /** Reads a message that has a length or chunks, or else no body. */
    static Message read(InputStream input) throws IOException {
        Message head = readHead(input);
        return new Message(head.start(), head.headers(), readBody(input, head));
    }

    static Message readHead(InputStream input) throws IOException {
        String start = line(input);
        Map<String, String> headers = new TreeMap<>();
        for (String next = line(input); !next.isEmpty(); next = line(input)) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).strip());
        }
        return new Message(start, headers, new byte[0]);
    }

    static byte[] readBody(InputStream input, Message head) throws IOException {
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
                body.writeBytes(exactly(input, size));
                line(input);
            }
            line(input);
            return body.toByteArray();
        }
        String length = head.header("Content-Length");
        return length.isEmpty() ? new byte[0] : exactly(input, Integer.parseInt(length));
    }

    private static int chunkSize(InputStream input) throws IOException {
        return Integer.parseInt(line(input).strip(), 16);
    }

    private static byte[] exactly(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ends after " + bytes.length + " of " + size);
        }
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the channel was closed");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
