package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Operators that race each other under equal version numbers and send each command again until they
 * know its result, and an observer of each instance that compares what it serves under with what
 * operators were told is in force.
 */
final class ConfigurationOperators {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OPERATORS = 3;
    private static final String COMMAND = "history-";
    private static final String PROFILE =
            """
            [[profiles]]
            name = "history"
            service = "quote-llm"
            class = "short"
            models = ["quote-7b"]
            time_limit_seconds = %d
            """;

    private final LocalCluster mCluster;
    private final Map<Long, Queue<Long>> mLimitsByVersion = new ConcurrentHashMap<>();
    private final Queue<String> mReverted = new ConcurrentLinkedQueue<>();
    private final AtomicLong mInForce = new AtomicLong();
    private final AtomicLong mNextLimit = new AtomicLong(1);
    private final AtomicLong mConflicts = new AtomicLong();
    private final AtomicLong mComparisons = new AtomicLong();
    private final List<CompletableFuture<Void>> mThreads;
    private volatile boolean mStopped;

    private ConfigurationOperators(LocalCluster cluster, long seed) {
        mCluster = cluster;
        mThreads =
                Stream.concat(
                                IntStream.range(0, OPERATORS)
                                        .mapToObj(
                                                number ->
                                                        run(() -> edit(new Random(seed + number)))),
                                IntStream.range(0, LocalCluster.INSTANCES)
                                        .mapToObj(instance -> run(() -> observe(instance))))
                        .toList();
    }

    static ConfigurationOperators start(LocalCluster cluster, long seed) {
        return new ConfigurationOperators(cluster, seed);
    }

    /** Stops and checks what was seen. */
    void check() {
        mStopped = true;
        mThreads.forEach(CompletableFuture::join);
        assertThat("serving under a version older than one in force", mReverted, hasSize(0));
        Map<Long, String> recorded = recordedCommands();
        mLimitsByVersion.forEach(
                (version, limits) -> {
                    assertThat("commands that won version " + version, limits, hasSize(1));
                    String command = COMMAND + limits.element();
                    assertThat("version " + version, recorded.get(version), equalTo(command));
                });
        assertThat(mConflicts.get(), greaterThan(0L));
        assertThat(mComparisons.get(), greaterThan(0L));
    }

    /** Returns the command that made each version, as the system itself recorded it. */
    private Map<Long, String> recordedCommands() {
        Map<Long, String> commands = new HashMap<>();
        OperatorCaller.get(mCluster, 0, "configuration/history")
                .json()
                .path("changes")
                .forEach(
                        change ->
                                commands.put(
                                        change.path("version").asLong(),
                                        change.path("command_id").asText()));
        return commands;
    }

    private static CompletableFuture<Void> run(Runnable task) {
        return CompletableFuture.runAsync(task, body -> Thread.ofVirtual().start(body));
    }

    private void edit(Random random) {
        while (!mStopped) {
            int instance = random.nextInt(LocalCluster.INSTANCES);
            JsonNode status = OperatorCaller.tryGet(mCluster, instance, "status").json();
            long base = status.path("configuration").path("version").asLong();
            if (base > 0) {
                sendUntilKnown(instance, base);
            }
            Waiting.pause();
        }
    }

    private void sendUntilKnown(int first, long base) {
        long limit = mNextLimit.getAndIncrement();
        ObjectNode body = JSON.createObjectNode().put("command_id", COMMAND + limit);
        body.put("base_version", base).put("toml", PROFILE.formatted(limit));
        for (int instance = first; ; instance = (instance + 1) % LocalCluster.INSTANCES) {
            Caller.Answer answer = OperatorCaller.tryPost(mCluster, instance, "profiles", body);
            if (answer.status() == 200) {
                won(answer.json(), limit);
                return;
            }
            if (answer.status() == 409) {
                mConflicts.incrementAndGet();
                return;
            }
            Waiting.pause();
        }
    }

    private void won(JsonNode answer, long limit) {
        long version = answer.path("version").asLong();
        mLimitsByVersion.computeIfAbsent(version, none -> new ConcurrentLinkedQueue<>()).add(limit);
        if (answer.path("in_force").asBoolean()) {
            mInForce.accumulateAndGet(version, Math::max);
        }
    }

    /** An instance without a lease may know an old version only: it gives out no work under it. */
    private void observe(int instance) {
        while (!mStopped) {
            long inForce = mInForce.get();
            JsonNode configuration =
                    OperatorCaller.tryGet(mCluster, instance, "status")
                            .json()
                            .path("configuration");
            if (configuration.path("lease_held_here").asBoolean()) {
                mComparisons.incrementAndGet();
                if (configuration.path("version_here").asLong() < inForce) {
                    mReverted.add("instance " + instance + " " + configuration + " " + inForce);
                }
            }
            Waiting.pause();
        }
    }
}
