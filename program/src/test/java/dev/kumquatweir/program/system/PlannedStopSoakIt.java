package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Planned stops in the fleet, as callers and upstreams see them. A long run sets the properties
 * {@code soak.first_seed}, {@code soak.seeds}, {@code soak.seconds} and {@code soak.busy}.
 */
final class PlannedStopSoakIt {
    private static final long FIRST_SEED = Long.getLong("soak.first_seed", 1);
    private static final long SEEDS = Long.getLong("soak.seeds", 1);
    private static final long SECONDS = Long.getLong("soak.seconds", 60);

    /** Number of processes that take processor time from the fleet. */
    private static final int BUSY = Integer.getInteger("soak.busy", 0);

    /**
     * Guards against requests that are cut without an answer, run although they were refused, run
     * twice or look complete too early while processes are stopped as planned.
     */
    @Test
    void plannedStopsCutNoRequest(@TempDir Path folder) throws IOException {
        List<String> violations = new ArrayList<>();
        for (long seed : LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).toArray()) {
            Path ofSeed = folder.resolve("seed-" + seed);
            ofSeed.toFile().mkdir();
            try (PlannedStopSoak soak = new PlannedStopSoak(ofSeed, seed);
                    BusyProcesses busy = new BusyProcesses(BUSY)) {
                PlannedStopCheck check = soak.run(Duration.ofSeconds(SECONDS));
                System.out.println("seed=" + seed + " " + check.summary());
                check.violations().forEach(System.out::println);
                violations.addAll(check.violations());
            }
        }
        assertThat(violations, empty());
    }
}
