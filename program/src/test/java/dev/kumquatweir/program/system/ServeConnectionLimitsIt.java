package dev.kumquatweir.program.system;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A {@code serve} process under clients that send without end. Guards against a process that runs
 * out of memory or descriptors, or that no longer answers ordinary requests.
 */
final class ServeConnectionLimitsIt {
    @TempDir private Path mFolder;

    @ParameterizedTest
    @CsvSource({
        "0, HEADER_FIELDS",
        "0, ONE_FIELD",
        "0, EMPTY_LINES",
        "0, TRAILERS",
        "0, CHUNK_EXTENSION",
        "0, PIPELINED",
        "1, HEADER_FIELDS",
        "1, TRAILERS",
        "2, HEADER_FIELDS",
        "2, TRAILERS"
    })
    void listenersStayWithinTheirMemory(int listener, OffendingPattern pattern) throws IOException {
        try (LimitedServe serve = new LimitedServe(mFolder)) {
            ProcessBounds bounds = new ProcessBounds(serve.process());
            try (OffendingClients clients =
                    pattern.start(serve.address(listener), "POST /v1/x HTTP/1.1\r\nHost: a\r\n")) {
                bounds.check("serve " + listener + " " + pattern, clients.awaitEnd());
                serve.awaitOrdinaryResponse();
            }
        }
    }
}
