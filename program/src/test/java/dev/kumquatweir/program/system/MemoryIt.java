package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.emptyString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Memory of engines that nobody needs any more. The engines are slow: left alone, it stays. */
class MemoryIt {
    /**
     * At a fifth of the usual speed (60 ms a token) this takes longer than a condition is waited
     * for.
     */
    private static final int ORPHAN_TOKENS = 1_600;

    private static final int TOKENS = 600;
    private static final int KILLED = 2;
    private static final List<String> ENGINES = List.of("engine-1", "engine-2");
    private static final String DROPPED = "event=cancel_dropped";

    @TempDir static Path sFolder;
    private static LocalCluster sCluster;

    @BeforeAll
    static void startCluster() {
        sCluster = LocalCluster.start(sFolder);
        sCluster.startEngine("engine-1", "klang-a", "--time-scale", "5");
        sCluster.startEngine("engine-2", "klang-b", "--time-scale", "5");
        sCluster.awaitEngines();
    }

    @AfterAll
    static void stopCluster() {
        sCluster.close();
    }

    /** Guards against memory that a dead instance holds for ever, and against harm to others. */
    @Test
    void killedInstance() {
        int untouched = reclaimedOfOthers();
        AtomicInteger begun = new AtomicInteger();
        List<CompletableFuture<Caller.Streamed>> others = new ArrayList<>();
        List<CompletableFuture<Caller.Streamed>> orphans = new ArrayList<>();
        for (int number = 0; number < LocalCluster.INSTANCES; number++) {
            if (number != KILLED) {
                others.add(stream(number, "other " + number, TOKENS, begun));
            }
            orphans.add(stream(KILLED, "orphan " + number, ORPHAN_TOKENS, begun));
        }
        Waiting.until("all streams run", () -> begun.get() == others.size() + orphans.size());
        export(items("entry-3:").getFirst());
        int held = items("entry-3:").size();
        assertThat(held, is(orphans.size() + 1));
        ENGINES.forEach(engine -> sCluster.fault(engine, "drop_cancels", "true"));
        int before = dropped();
        sCluster.instance(KILLED).kill();
        Waiting.until("engines go on", () -> dropped() - before >= orphans.size());
        ENGINES.forEach(engine -> sCluster.fault(engine, "drop_cancels", "false"));
        assertThat(items("entry-3:").size(), is(held));

        sCluster.instance(KILLED).startAgain();
        Waiting.until("the memory is free", () -> items("entry-3:").isEmpty());
        assertThat(items("entry-").size(), greaterThan(0));
        for (int number = 0; number < others.size(); number++) {
            Caller.Streamed answer = others.get(number).orTimeout(150, TimeUnit.SECONDS).join();
            int instance = number < KILLED ? number : number + 1;
            assertThat(answer.error(), emptyString());
            assertThat(answer.text(), equalTo(Caller.expected("other " + instance, TOKENS)));
            assertThat(answer.complete(), is(true));
        }
        Waiting.until("nothing is held", () -> items("").isEmpty());
        assertThat(reclaimed("attempt", "entry-3"), is(orphans.size()));
        assertThat(reclaimed("export", "entry-3"), is(1));
        assertThat(reclaimedOfOthers(), is(untouched));
        sCluster.awaitReady(KILLED);
    }

    /** Guards against an answer that an engine goes on with because its cancel was lost. */
    @Test
    void lostCancel() {
        ENGINES.forEach(engine -> sCluster.fault(engine, "drop_cancels", "true"));
        int before = dropped();
        CompletableFuture<Caller.Streamed> left =
                Caller.streamLater(
                        sCluster.url(1),
                        "quick",
                        "caller leaves",
                        ORPHAN_TOKENS,
                        text -> {
                            throw new CompletionException(new IllegalStateException("left"));
                        });
        // Both the closed connection and the cancel that is sent besides would end the attempt.
        Waiting.until("both ways to end it are lost", () -> dropped() >= before + 2);
        assertThat(left.isCompletedExceptionally(), is(true));
        ENGINES.forEach(engine -> sCluster.fault(engine, "drop_cancels", "false"));
        assertThat(items("entry-2:"), not(List.of()));
        Waiting.until("the memory is free", () -> items("entry-2:").isEmpty());
        Waiting.until("it is logged", () -> reclaimed("attempt", "entry-2") == 1);
    }

    /** Guards against an export that nobody releases, and against harm to the attempt it is of. */
    @Test
    void forgottenExport() {
        AtomicInteger begun = new AtomicInteger();
        CompletableFuture<Caller.Streamed> running = stream(0, "exported", TOKENS, begun);
        Waiting.until("the stream runs", () -> begun.get() == 1);
        export(items("entry-1:").getFirst());
        assertThat(items("entry-1:").size(), is(2));
        Waiting.until("the export is released", () -> items("entry-1:").size() < 2);
        Waiting.until("it is logged", () -> reclaimed("export", "entry-1") == 1);
        Caller.Streamed answer = running.orTimeout(150, TimeUnit.SECONDS).join();
        assertThat(answer.text(), equalTo(Caller.expected("exported", TOKENS)));
        assertThat(answer.complete(), is(true));
        Waiting.until("nothing is held", () -> items("entry-1:").isEmpty());
    }

    private record Item(String engine, String id) {}

    private static CompletableFuture<Caller.Streamed> stream(
            int instance, String prompt, int tokens, AtomicInteger begun) {
        boolean[] counted = new boolean[1];
        return Caller.streamLater(
                sCluster.url(instance),
                "dossier",
                prompt,
                tokens,
                text -> {
                    if (!counted[0]) {
                        counted[0] = true;
                        begun.incrementAndGet();
                    }
                });
    }

    private static void export(Item attempt) {
        Caller.Answer answer =
                Caller.askStandin(
                        sCluster.upstreamUrl(attempt.engine()) + "/engine/v1/kv/export",
                        "{\"attempt\": \"" + attempt.id() + "\"}");
        assertThat(answer.toString(), answer.status(), is(200));
    }

    /** Returns the attempts and exports on all engines whose ids start with a text. */
    private static List<Item> items(String prefix) {
        List<Item> items = new ArrayList<>();
        for (String engine : ENGINES) {
            Caller.Answer answer =
                    Caller.askStandin(sCluster.upstreamUrl(engine) + "/engine/v1/requests", "");
            assertThat(answer.toString(), answer.status(), is(200));
            answer.json()
                    .path("requests")
                    .forEach(held -> items.add(new Item(engine, held.path("attempt").asText())));
            answer.json()
                    .path("exports")
                    .forEach(held -> items.add(new Item(engine, held.path("handle").asText())));
        }
        items.removeIf(item -> !item.id().startsWith(prefix));
        return items;
    }

    private static int dropped() {
        return ENGINES.stream()
                .mapToInt(engine -> count(sCluster.upstream(engine).log(), DROPPED))
                .sum();
    }

    private static int reclaimedOfOthers() {
        return Stream.of("entry-1", "entry-2", "entry-4")
                .mapToInt(owner -> reclaimed("attempt", owner))
                .sum();
    }

    private static int reclaimed(String kind, String owner) {
        String line =
                "event=memory_reclaimed upstream=engine-\\d kind=" + kind + " id=" + owner + ":";
        return IntStream.range(0, LocalCluster.INSTANCES)
                .map(number -> count(sCluster.instance(number).log(), line))
                .sum();
    }

    private static int count(String log, String pattern) {
        return (int) Pattern.compile(pattern).matcher(log).results().count();
    }
}
