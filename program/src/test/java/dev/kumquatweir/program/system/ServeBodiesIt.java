package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A {@code serve} process with request bodies on many connections, each body within its own limit.
 * Guards against a sum of bodies without a bound.
 */
final class ServeBodiesIt {
    private static final int CONNECTIONS = 20;
    private static final int BODY_BYTES = 4 << 20;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final String HEAD =
            "POST /services/%s/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                    + LocalCluster.TEAM_KEY
                    + "\r\nIdempotency-Key: %s\r\nContent-Length: "
                    + BODY_BYTES
                    + "\r\n\r\n";

    @TempDir private Path mFolder;

    /**
     * Each client sends all of its body but so many bytes, then waits. Complete bodies wait for an
     * upstream; incomplete ones for their last byte.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void bodiesOfManyConnectionsStayWithinTheMemory(int missingBytes) throws IOException {
        byte[] body = new byte[BODY_BYTES - missingBytes];
        Arrays.fill(body, (byte) ' ');
        List<Socket> sockets = new ArrayList<>();
        try (LimitedServe serve = new LimitedServe(mFolder)) {
            int closed = 0;
            try {
                ProcessBounds bounds = new ProcessBounds(serve.process());
                for (int number = 0; number < CONNECTIONS; number++) {
                    closed += send(serve, sockets, "key-" + number, body) ? 0 : 1;
                }
                serve.awaitOrdinaryResponse();
                bounds.check("serve bodies but " + missingBytes, closed + " connections closed");
            } finally {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
            Waiting.until(
                    "a single body within the limit is read once the others are gone",
                    () -> status(serve).equals("404"));
            assertThat(serve.process().alive(), is(true));
        }
    }

    private static boolean send(LimitedServe serve, List<Socket> sockets, String key, byte[] body) {
        Socket socket = new Socket();
        sockets.add(socket);
        try {
            socket.connect(serve.address(0));
            socket.getOutputStream()
                    .write(HEAD.formatted("bookings", key).getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            return true;
        } catch (IOException refused) {
            return false;
        }
    }

    /** Returns the status of a request with a large body for a service that doesn't exist. */
    private static String status(LimitedServe serve) {
        byte[] body = new byte[BODY_BYTES];
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.connect(serve.address(0));
            socket.getOutputStream()
                    .write(HEAD.formatted("none", "last").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            byte[] line = socket.getInputStream().readNBytes("HTTP/1.1 404".length());
            return new String(line, StandardCharsets.US_ASCII).replace("HTTP/1.1 ", "");
        } catch (IOException refused) {
            return "";
        }
    }
}
