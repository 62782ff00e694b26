package dev.kumquatweir.agreement.raft;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.util.List;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Checks all safety invariants, and progress after faults end, in seeded random runs. */
class SimulationTest {
    private static final long FIRST_SEED = 1;
    private static final int SEEDS = Integer.getInteger("simulation.seeds", 2_000);
    private static final int THREADS = 4;

    private final AtomicLong mAcceptedChanges = new AtomicLong();
    private final AtomicLong mExecutedRequests = new AtomicLong();
    private final AtomicLong mVersionsInForce = new AtomicLong();
    private final AtomicLong mMembershipChanges = new AtomicLong();

    @Test
    void invariantsHoldInRandomRuns() throws Exception {
        Long onlySeed = Long.getLong("simulation.seed");
        LongStream seeds =
                onlySeed == null
                        ? LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                        : LongStream.of(onlySeed);
        try (var pool = new ForkJoinPool(THREADS)) {
            List<String> failures =
                    pool.submit(
                                    () ->
                                            seeds.parallel()
                                                    .mapToObj(this::failureOf)
                                                    .filter(text -> !text.isEmpty())
                                                    .limit(5)
                                                    .toList())
                            .get();
            assertThat(String.join("\n", failures), failures, empty());
        }
        // Without any activity the runs would verify nothing.
        assertThat("accepted changes", mAcceptedChanges.get(), greaterThan(0L));
        assertThat("executed requests", mExecutedRequests.get(), greaterThan(0L));
        assertThat("versions in force", mVersionsInForce.get(), greaterThan(0L));
        assertThat("membership changes", mMembershipChanges.get(), greaterThan(0L));
        System.out.println(
                "simulation: "
                        + mAcceptedChanges.get()
                        + " changes accepted, "
                        + mExecutedRequests.get()
                        + " requests executed, "
                        + mVersionsInForce.get()
                        + " last versions in force, "
                        + mMembershipChanges.get()
                        + " membership changes");
    }

    private String failureOf(long seed) {
        try {
            run(seed);
            return "";
        } catch (AssertionError | RuntimeException failure) {
            StackTraceElement[] trace = failure.getStackTrace();
            return "seed "
                    + seed
                    + ": "
                    + failure
                    + (trace.length > 0 ? " at " + trace[0] : "")
                    + "; replay: ./build -q -pl agreement -am test -Dtest=SimulationTest"
                    + " -Dsurefire.failIfNoSpecifiedTests=false -Dsimulation.seed="
                    + seed;
        }
    }

    private void run(long seed) {
        var run = new RandomRun(seed, Simulation.smallSettings().build());
        run.run();
        mAcceptedChanges.addAndGet(run.workload().acceptedChanges());
        mExecutedRequests.addAndGet(run.workload().executedRequests());
        mVersionsInForce.addAndGet(run.simulation().checker().versionInForce());
        mMembershipChanges.addAndGet(run.simulation().checker().membershipChanges());
    }
}
