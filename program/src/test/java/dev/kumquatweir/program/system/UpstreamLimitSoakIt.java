package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import dev.kumquatweir.platform.AnswerFault;
import dev.kumquatweir.platform.StandinUpstream;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Upstreams that name a limit in front of a fleet of real processes, whose leaders are killed and
 * stopped in series; for a while no majority is left. A long run sets the properties {@code
 * limit.first_seed}, {@code limit.seeds}, {@code limit.rounds} and {@code limit.entries}.
 */
final class UpstreamLimitSoakIt {
    private static final long FIRST_SEED = Long.getLong("limit.first_seed", 1);
    private static final long SEEDS = Long.getLong("limit.seeds", 1);
    private static final int ROUNDS = Integer.getInteger("limit.rounds", 3);
    private static final int ENTRIES = Integer.getInteger("limit.entries", 4);
    private static final int UPSTREAMS = 5;
    private static final int LONGEST_IDLE_MILLIS = 1_000;
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final Duration CONTACT = Duration.ofSeconds(3);

    /** The limits of the first upstreams; the others name none. */
    private static final List<String> LIMITS = List.of("1.2", "0.4", "3");

    /** Guards against a limit that instances exceed together, with, without and between leaders. */
    @Test
    void limitsHoldWhileLeadersAreLost(@TempDir Path folder) throws IOException {
        List<String> violations = new ArrayList<>();
        for (long seed : LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).toArray()) {
            Path ofSeed = folder.resolve("seed-" + seed);
            ofSeed.toFile().mkdir();
            violations.addAll(play(ofSeed, seed));
        }
        assertThat(violations, empty());
    }

    private static List<String> play(Path folder, long seed) throws IOException {
        Random random = new Random(seed);
        try (SoakFleet fleet =
                new SoakFleet(
                        folder,
                        seed,
                        ENTRIES,
                        UPSTREAMS,
                        0,
                        request -> AnswerFault.NONE,
                        LONGEST_IDLE_MILLIS)) {
            fleet.awaitServing();
            fleet.startCallers();
            Waiting.during(CONTACT);
            List<StandinUpstream> upstreams = fleet.soundUpstreams();
            for (int number = 0; number < LIMITS.size(); number++) {
                upstreams.get(number).nameLimit(LIMITS.get(number));
            }
            Waiting.during(CONTACT);
            long fromNanos = System.nanoTime();
            for (int round = 0; round < ROUNDS; round++) {
                loseLeaders(fleet, random);
            }
            List<String> violations = new ArrayList<>();
            for (int number = 0; number < LIMITS.size(); number++) {
                double allowed = 1.5 * Double.parseDouble(LIMITS.get(number)) * 4 + 5;
                long most = mostInWindow(upstreams.get(number).arrivals(), fromNanos);
                String seen =
                        "seed=%d limit=%s most=%d allowed=%.1f"
                                .formatted(seed, LIMITS.get(number), most, allowed);
                System.out.println(seen);
                if (most > allowed) {
                    violations.add(seen);
                }
            }
            assertThat(
                    "requests to an upstream without a limit",
                    (long) upstreams.getLast().arrivals().size(),
                    greaterThan(20L));
            fleet.stopCallers("");
            return violations;
        }
    }

    /** Loses the leader by a kill or a planned stop, sometimes together with another control. */
    private static void loseLeaders(SoakFleet fleet, Random random) {
        List<FleetNode> lost = new ArrayList<>(List.of(fleet.leader()));
        if (random.nextBoolean()) {
            fleet.controls().stream()
                    .filter(node -> !lost.contains(node))
                    .findFirst()
                    .ifPresent(lost::add);
        }
        for (FleetNode node : lost) {
            if (random.nextInt(3) == 0) {
                node.terminate(System.nanoTime());
            } else {
                node.crash(System.nanoTime());
            }
        }
        Waiting.during(Duration.ofMillis(500 + random.nextInt(4_000)));
        for (FleetNode node : lost) {
            if (node.process().alive()) {
                node.process().kill();
            }
            node.process().startAgain();
        }
        Waiting.during(Duration.ofMillis(500 + random.nextInt(3_000)));
    }

    /** Returns the most requests in any window that begins after a time. */
    private static long mostInWindow(List<Long> arrivals, long fromNanos) {
        List<Long> counted = arrivals.stream().filter(time -> time - fromNanos >= 0).toList();
        return counted.stream()
                .mapToLong(
                        start ->
                                counted.stream()
                                        .filter(time -> time - start >= 0)
                                        .filter(time -> time - start < WINDOW_NANOS)
                                        .count())
                .max()
                .orElse(0);
    }
}
