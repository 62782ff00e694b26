package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A {@code fleet} process with more silent connections than descriptors. Guards against listeners
 * that can't accept ordinary callers, health checks and control messages.
 */
final class DescriptorLimitsIt {
    private static final int DESCRIPTORS = 512;
    private static final int CONNECTIONS = DESCRIPTORS + 200;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Failed connects after which a listener counts as full. */
    private static final int MAXIMUM_FAILURES = 5;

    @ParameterizedTest
    @EnumSource(names = {"CALLERS", "READINESS", "METRICS"})
    void silentConnectionsLeaveRoomForOrdinaryOnes(LimitedFleet.Port port, @TempDir Path folder)
            throws IOException {
        List<Socket> sockets = new ArrayList<>();
        try (LimitedFleet fleet = new LimitedFleet(folder, DESCRIPTORS)) {
            int failures = 0;
            for (int number = 0; number < CONNECTIONS && failures < MAXIMUM_FAILURES; number++) {
                Socket socket = new Socket();
                sockets.add(socket);
                try {
                    socket.connect(fleet.address(port), CONNECT_TIMEOUT_MILLIS);
                    if (number % 2 == 0) {
                        socket.getOutputStream()
                                .write("GET / HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII));
                    }
                } catch (IOException full) {
                    failures++;
                }
            }
            boolean serves = fleet.serves();
            long descriptors = fleet.process(port).openDescriptors();
            System.out.printf(
                    "limits load=silent %s; serves %b, descriptors %d%n",
                    port, serves, descriptors);
            assertThat("an ordinary request is answered", serves, is(true));
            assertThat(descriptors, lessThan((long) DESCRIPTORS));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
