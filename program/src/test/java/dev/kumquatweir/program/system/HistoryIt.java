package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.program.system.HoldHistory.Kind;
import dev.kumquatweir.program.system.HoldHistory.Operation;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Repeated deposit holds and racing operators during kills, freezes and cuts, checked as a history.
 */
class HistoryIt {
    private static final long SEED = 20_261_204L;
    private static final int CALLERS = 6;

    /** Requests for each key, from all callers together. */
    private static final int REPEATS = 12;

    private static final int ROUNDS = 6;

    @TempDir Path mFolder;
    private final Map<String, Queue<Operation>> mHistories = new ConcurrentHashMap<>();
    private final AtomicInteger mRequests = new AtomicInteger();
    private volatile boolean mStopped;

    /**
     * Guards against any order of failures that lets one key be answered in two ways, two operators
     * win one version, or an instance serve under a version older than one that is in force.
     */
    @Test
    void repeatedHoldsAreLinearizableAndConfigurationNeverReverts() {
        try (LocalCluster cluster = LocalCluster.start(mFolder)) {
            CuttingRelay.Cuts cuts = cluster.putRelaysBetween();
            cluster.startService("bookings-1", "klang-b");
            cluster.awaitService();
            List<CompletableFuture<Void>> callers =
                    IntStream.range(0, CALLERS)
                            .mapToObj(
                                    caller ->
                                            CompletableFuture.runAsync(
                                                    () -> call(cluster, new Random(SEED + caller)),
                                                    task -> Thread.ofVirtual().start(task)))
                            .toList();
            ConfigurationOperators operators = ConfigurationOperators.start(cluster, SEED);
            Random faults = new Random(SEED);
            for (int round = 0; round < ROUNDS; round++) {
                fault(cluster, cuts, round, faults.nextInt(LocalCluster.VOTERS));
                cluster.awaitAllReady();
            }
            mStopped = true;
            callers.forEach(CompletableFuture::join);
            operators.check();
            check(cluster);
        }
    }

    private static void fault(LocalCluster cluster, CuttingRelay.Cuts cuts, int round, int chosen) {
        int instance = round < 3 ? cluster.awaitLeader() : chosen;
        switch (round % 3) {
            case 0 -> {
                cluster.instance(instance).kill();
                Waiting.during(Duration.ofSeconds(1));
                cluster.instance(instance).startAgain();
            }
            case 1 -> {
                cluster.instance(instance).freeze();
                Waiting.during(Duration.ofSeconds(3));
                cluster.instance(instance).thaw();
            }
            default -> {
                cuts.isolate(instance);
                Waiting.during(Duration.ofSeconds(3));
                cuts.heal();
            }
        }
    }

    private void call(LocalCluster cluster, Random random) {
        while (!mStopped) {
            String key = "history-" + mRequests.getAndIncrement() / REPEATS;
            int instance = random.nextInt(LocalCluster.INSTANCES);
            long begin = System.nanoTime();
            Caller.Answer answer =
                    Caller.tryPost(cluster.holdUrl(instance), key, "{\"amount\": 50}");
            Operation operation =
                    new Operation(begin, System.nanoTime(), kind(answer), answer.body());
            mHistories.computeIfAbsent(key, none -> new ConcurrentLinkedQueue<>()).add(operation);
            Waiting.pause();
        }
    }

    private static Kind kind(Caller.Answer answer) {
        if (answer.status() == 200) {
            return Kind.ANSWERED;
        }
        if (answer.status() == 0) {
            return Kind.UNCERTAIN;
        }
        return switch (answer.type()) {
            case "outcome_unknown" -> Kind.OUTCOME_UNKNOWN;
            case "in_progress" -> Kind.IN_PROGRESS;
            default -> answer.ran().equals("no") ? Kind.NOT_RUN : Kind.UNCERTAIN;
        };
    }

    private void check(LocalCluster cluster) {
        var executions = cluster.executions("bookings-1");
        mHistories.forEach(
                (key, history) -> {
                    String seen = "seed " + SEED + " key " + key + " " + history;
                    int count = executions.path(key).asInt();
                    assertThat(seen, count, lessThanOrEqualTo(1));
                    boolean answered =
                            history.stream().anyMatch(one -> one.kind() == Kind.ANSWERED);
                    assertThat(seen, !answered || count == 1, is(true));
                    List<Operation> operations = List.copyOf(history);
                    assertThat(seen, HoldHistory.linearizable(operations), is(true));
                });
    }
}
