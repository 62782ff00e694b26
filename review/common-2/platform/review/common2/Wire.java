package review.common2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Requests and answers of HTTP/1.1 on plain sockets. */
public final class Wire {
    private Wire() {}

    /** The first line and the header fields of a message, names in lower case. */
    public record Head(String start, Map<String, String> fields) {
        /** Returns a field, empty if it is missing. */
        public String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** An answer; {@code complete} says whether its body ended as announced. */
    public record Answer(Head head, byte[] body, boolean complete) {
        /** Returns the status. */
        public int status() {
            String[] words = head.start().split(" ", 3);
            return words.length > 1 ? Integer.parseInt(words[1]) : 0;
        }
    }

    /** Returns a request with a body that has a length. */
    public static byte[] request(String start, String host, List<String> fields, String body) {
        StringBuilder text = new StringBuilder(start).append(" HTTP/1.1\r\n");
        text.append("Host: ").append(host).append("\r\n");
        fields.forEach(field -> text.append(field).append("\r\n"));
        if (!start.startsWith("GET")) {
            text.append("Content-Type: application/json\r\n");
            text.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        return text.append("\r\n").append(body).toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Sends a request on a new connection and reads the answer. */
    public static Answer exchange(InetSocketAddress address, byte[] request, int millis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setSoTimeout(millis);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            return readAnswer(socket.getInputStream());
        }
    }

    /** Reads an answer with a length, in chunks, or up to the end of its connection. */
    public static Answer readAnswer(InputStream input) throws IOException {
        Head head = readHead(input);
        if (head == null) {
            throw new IOException("closed without an answer");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            complete = readChunks(input, body);
        } else if (head.field("content-length").isEmpty()) {
            input.transferTo(body);
            complete = true;
        } else {
            int length = Integer.parseInt(head.field("content-length"));
            body.write(input.readNBytes(length));
            complete = body.size() == length;
        }
        return new Answer(head, body.toByteArray(), complete);
    }

    private static boolean readChunks(InputStream input, ByteArrayOutputStream body)
            throws IOException {
        while (true) {
            String line = readLine(input);
            if (line == null || line.isEmpty()) {
                return false;
            }
            int size = Integer.parseInt(line.strip().split(";")[0], 16);
            byte[] chunk = input.readNBytes(size);
            body.write(chunk);
            String end = readLine(input);
            if (chunk.length < size || end == null) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    /** Reads first line and fields; null at the end of the connection. */
    public static Head readHead(InputStream input) throws IOException {
        String start = readLine(input);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        while (true) {
            String line = readLine(input);
            if (line == null) {
                throw new IOException("closed inside a head");
            }
            if (line.isEmpty()) {
                return new Head(start, fields);
            }
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    /** Reads the body of a request that has a length or comes in chunks. */
    public static byte[] readBody(Head head, InputStream input) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            readChunks(input, body);
        } else if (!head.field("content-length").isEmpty()) {
            body.write(input.readNBytes(Integer.parseInt(head.field("content-length"))));
        }
        return body.toByteArray();
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
        }
    }

    /** Returns a list with further elements. */
    public static List<String> with(List<String> list, String... more) {
        List<String> all = new ArrayList<>(list);
        all.addAll(List.of(more));
        return all;
    }
}
