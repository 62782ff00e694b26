package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.oneOf;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Requests with side effects through separate processes. */
class ActionIt {
    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCluster.startService("bookings-1", "klang-b");
        IntStream.range(0, LocalCluster.INSTANCES)
                .forEach(
                        instance ->
                                Waiting.until(
                                        "instance " + instance + " knows the service",
                                        () ->
                                                Caller.get(holdUrl(instance) + "/ready").status()
                                                        == 200));
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    private static String holdUrl(int instance) {
        return sCluster.url(instance) + "/services/bookings/deposit-holds";
    }

    private static int executions(String key) {
        return Caller.get(sCluster.upstreamUrl("bookings-1") + "/standin/v1/ledger")
                .json()
                .path("executions")
                .path(key)
                .asInt();
    }

    /** Guards against the second hold on a card when a caller presses again on another instance. */
    @Test
    void repeatedHoldsThroughAllInstancesRunOnce() {
        String key = "hold-everywhere";
        List<CompletableFuture<Caller.Answer>> answers =
                IntStream.range(0, 16)
                        .mapToObj(
                                number ->
                                        CompletableFuture.supplyAsync(
                                                () ->
                                                        Caller.post(
                                                                holdUrl(number % 4),
                                                                key,
                                                                "{\"amount\": 50}"),
                                                task -> Thread.ofVirtual().start(task)))
                        .toList();
        answers.stream()
                .map(CompletableFuture::join)
                .forEach(answer -> assertThat(answer.status(), oneOf(200, 409)));
        Caller.Answer later = Caller.post(holdUrl(3), key, "{\"amount\": 50}");
        assertThat(later.status(), equalTo(200));
        assertThat(executions(key), is(1));
    }

    /** Guards against a key with another body returning the answer of the first request. */
    @Test
    void keyWithAnotherBodyIsConflict() {
        assertThat(Caller.post(holdUrl(0), "reused", "{\"amount\": 1}").status(), equalTo(200));
        Caller.Answer other = Caller.post(holdUrl(1), "reused", "{\"amount\": 2}");
        assertThat(other.type(), equalTo("idempotency_key_reused"));
        assertThat(executions("reused"), is(1));
    }

    /** Guards against an action that can't be recognised when it is repeated. */
    @Test
    void actionWithoutKeyIsRefusedAndDidNotRun() {
        Caller.Answer answer = Caller.post(holdUrl(2), "", "{\"key\": \"no-header\"}");
        assertThat(answer.type(), equalTo("idempotency_key_missing"));
        assertThat(answer.ran(), equalTo("no"));
        assertThat(executions("no-header"), is(0));
    }
}
