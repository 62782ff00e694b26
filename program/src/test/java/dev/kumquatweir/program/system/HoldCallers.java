package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One caller for each instance that makes one deposit hold after the other until it is closed, and
 * repeats each until it is answered or its outcome is said to be unknown.
 */
final class HoldCallers implements AutoCloseable {
    /** A hold and its answer; status 0 if the connection broke. */
    record Hold(int instance, String key, Caller.Answer answer) {
        boolean succeeded() {
            return answer.status() == 200;
        }

        /** Returns whether a repeat would change nothing. */
        boolean decided() {
            return succeeded() || (answer.status() != 0 && answer.type().equals("outcome_unknown"));
        }
    }

    private final LocalCluster mCluster;
    private final String mPrefix;
    private final Queue<Hold> mHolds = new ConcurrentLinkedQueue<>();
    private final List<CompletableFuture<Void>> mCallers;
    private volatile boolean mStopped;

    private HoldCallers(LocalCluster cluster, String prefix) {
        mCluster = cluster;
        mPrefix = prefix;
        mCallers =
                IntStream.range(0, LocalCluster.INSTANCES)
                        .mapToObj(
                                instance ->
                                        CompletableFuture.runAsync(
                                                () -> call(instance),
                                                task -> Thread.ofVirtual().start(task)))
                        .toList();
    }

    static HoldCallers start(LocalCluster cluster, String prefix) {
        return new HoldCallers(cluster, prefix);
    }

    /** Waits until this many more holds through the instance succeeded. */
    void awaitMore(int instance, int more) {
        long before = successes(instance);
        Waiting.until(
                more + " more holds through instance " + instance,
                () -> successes(instance) >= before + more);
    }

    void awaitMoreExcept(int instance, int more) {
        IntStream.range(0, LocalCluster.INSTANCES)
                .filter(other -> other != instance)
                .forEach(other -> awaitMore(other, more));
    }

    List<Hold> holds() {
        return List.copyOf(mHolds);
    }

    /** Stops the callers and compares their answers with what the stand-in service executed. */
    void check() {
        close();
        JsonNode executions = mCluster.executions("bookings-1");
        Map<String, List<Hold>> byKey =
                mHolds.stream().collect(Collectors.groupingBy(Hold::key, Collectors.toList()));
        byKey.forEach((key, holds) -> checkKey(holds, executions.path(key).asInt()));
    }

    private static void checkKey(List<Hold> holds, int executions) {
        Hold last = holds.getLast();
        assertThat(holds + " ran twice", executions, lessThanOrEqualTo(1));
        if (last.succeeded()) {
            assertThat(holds + " was answered", executions, is(1));
        } else if (last.answer().status() != 0 && last.answer().ran().equals("no")) {
            assertThat(holds + " was said not to have run", executions, is(0));
        }
    }

    @Override
    public void close() {
        mStopped = true;
        mCallers.forEach(CompletableFuture::join);
    }

    private long successes(int instance) {
        return mHolds.stream()
                .filter(hold -> hold.instance() == instance && hold.succeeded())
                .count();
    }

    private void call(int instance) {
        for (int number = 0; !mStopped; number++) {
            String key = mPrefix + "-" + instance + "-" + number;
            Hold hold = hold(instance, key);
            while (!mStopped && !hold.decided()) {
                Waiting.pause();
                hold = hold(instance, key);
            }
        }
    }

    private Hold hold(int instance, String key) {
        Caller.Answer answer = Caller.tryPost(mCluster.holdUrl(instance), key, "{\"amount\": 50}");
        Hold hold = new Hold(instance, key, answer);
        mHolds.add(hold);
        return hold;
    }
}
