package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.FleetTraffic;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Processes under 200 clients outside the limits, of one kind or of several at once, while ordinary
 * requests come. Guards against limits that hold for a few connections or for one kind only.
 */
final class ClientCrowdIt {
    private static final int CLIENTS = 200;
    private static final OffendingClients.Load LOAD =
            new OffendingClients.Load(CLIENTS, 2, 1L << 20, 4);

    /** Few bytes, since each costs the test a system call; the heads stay incomplete. */
    private static final OffendingClients.Load SINGLE_BYTES =
            new OffendingClients.Load(CLIENTS, 2, 8L << 10, 4);

    private static final int BLOCK_BYTES = 16 << 10;
    private static final String HEAD = "POST /repeatable_call/x HTTP/1.1\r\nHost: soak.example\r\n";

    @TempDir private Path mFolder;

    @ParameterizedTest
    @CsvSource({
        "CALLERS, PIPELINED",
        "CALLERS, HEADER_FIELDS+EMPTY_LINES+TRAILERS+PIPELINED+PIPELINED_LARGE+CHUNK_EXTENSION",
        "READINESS, HEADER_FIELDS+EMPTY_LINES+TRAILERS+PIPELINED+PIPELINED_LARGE",
        "CONTROL, HEADER_FIELDS+EMPTY_LINES+TRAILERS+PIPELINED+PIPELINED_LARGE",
    })
    void fleetStaysWithinItsMemory(LimitedFleet.Port port, String patterns) throws IOException {
        playFleet(port, patterns, LOAD, data(patterns, BLOCK_BYTES));
    }

    /** Event streams of 1 MiB that nobody reads, beside requests that are sent ahead. */
    @Test
    void unreadStreamsBesideOthersStayWithinTheMemory() throws IOException {
        String stream =
                new String(
                        new FleetTraffic.Request("large-1", FleetTraffic.Kind.STREAM, 1).encode(),
                        StandardCharsets.US_ASCII);
        List<OffendingClients.Data> data =
                new ArrayList<>(data("PIPELINED_LARGE+PIPELINED", BLOCK_BYTES));
        data.add(new OffendingClients.Data("", stream));
        data.add(new OffendingClients.Data("", stream));
        playFleet(LimitedFleet.Port.CALLERS, "streams", LOAD, data);
    }

    /** One byte at a time in heads, trailers and empty lines. */
    @Test
    void slowClientsStayWithinTheDescriptors() throws IOException {
        List<OffendingClients.Data> data =
                data("ONE_FIELD+EMPTY_LINES+CHUNK_EXTENSION+TRAILERS", 1).stream()
                        .map(one -> new OffendingClients.Data(one.first(), oneByte(one)))
                        .toList();
        playFleet(LimitedFleet.Port.CALLERS, "single bytes", SINGLE_BYTES, data);
    }

    @ParameterizedTest
    @CsvSource({
        "0, HEADER_FIELDS+EMPTY_LINES+TRAILERS+PIPELINED+PIPELINED_LARGE+CHUNK_EXTENSION",
    })
    void serveStaysWithinItsMemory(int listener, String patterns) throws IOException {
        try (LimitedServe serve = new LimitedServe(mFolder)) {
            ProcessBounds bounds = new ProcessBounds(serve.process(), CLIENTS);
            try (OffendingClients clients =
                    OffendingClients.start(
                            serve.address(listener), LOAD, data(patterns, BLOCK_BYTES))) {
                serve.awaitOrdinaryResponse();
                bounds.check("crowd serve " + listener + " " + patterns, clients.awaitEnd());
                serve.awaitOrdinaryResponse();
            }
        }
    }

    private void playFleet(
            LimitedFleet.Port port,
            String name,
            OffendingClients.Load load,
            List<OffendingClients.Data> data)
            throws IOException {
        try (LimitedFleet fleet = new LimitedFleet(mFolder)) {
            ProcessBounds bounds = new ProcessBounds(fleet.process(port), CLIENTS);
            try (OffendingClients clients =
                    OffendingClients.start(fleet.address(port), load, data)) {
                fleet.awaitOrdinaryResponse();
                bounds.check("crowd fleet " + port + " " + name, clients.awaitEnd());
                fleet.awaitOrdinaryResponse();
            }
        }
    }

    private static List<OffendingClients.Data> data(String patterns, int blockBytes) {
        return Arrays.stream(patterns.split("\\+"))
                .map(name -> OffendingPattern.valueOf(name).data(HEAD, blockBytes))
                .toList();
    }

    /** Repeats the last byte, which continues a line or begins an empty one. */
    private static String oneByte(OffendingClients.Data data) {
        String repeated = data.repeated();
        return repeated.startsWith("X") ? "x" : repeated.substring(repeated.length() - 1);
    }
}
