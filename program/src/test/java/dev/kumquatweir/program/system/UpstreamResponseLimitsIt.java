package dev.kumquatweir.program.system;

import dev.kumquatweir.platform.FleetTraffic;
import dev.kumquatweir.platform.ScriptedUpstream;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A {@code fleet} process in front of an upstream that sends without end. Guards against a process
 * that runs out of memory or descriptors, or that no longer answers ordinary requests.
 */
final class UpstreamResponseLimitsIt {
    private static final int REQUESTS = 8;
    private static final Duration LOAD = Duration.ofSeconds(5);

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"ORDINARY", "LARGE"})
    void endlessResponseStaysWithinTheMemory(ScriptedUpstream.Script script, @TempDir Path folder)
            throws IOException {
        try (LimitedFleet fleet = new LimitedFleet(folder)) {
            ProcessBounds bounds = new ProcessBounds(fleet.process(LimitedFleet.Port.CALLERS));
            for (int number = 0; number < REQUESTS; number++) {
                FleetTraffic.Kind kind =
                        number % 2 == 0
                                ? FleetTraffic.Kind.REPEATABLE_CALL
                                : FleetTraffic.Kind.RESUMABLE_STREAM;
                fleet.sendAside(new FleetTraffic.Request(script.id(number), kind, 1));
            }
            Waiting.during(LOAD);
            bounds.check(
                    "upstream " + script,
                    "sent %.1f MB".formatted(fleet.upstream().sentBytes() / 1e6));
            fleet.awaitOrdinaryResponse();
        }
    }
}
