package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Prompts of more than twice the memory of one engine, through separate processes. */
class OversizeIt {
    private static final List<String> ENGINES = List.of("engine-1", "engine-2", "engine-3");
    private static final List<String> DOMAINS = List.of("klang-a", "klang-b", "klang-c");
    private static final int MEMORY_TOKENS = 10_000;
    private static final int ANSWER_TOKENS = 60;

    /** 24,000 tokens: three engines of 10,000 are needed. */
    private static final int PROMPT_CHARACTERS = 96_000;

    private static final long LIMIT_SECONDS = 150;

    @TempDir Path mFolder;
    private LocalCluster mCluster;

    @BeforeEach
    void startCluster() {
        mCluster = LocalCluster.start(mFolder);
        IntStream.range(0, ENGINES.size()).forEach(this::startEngine);
        ENGINES.forEach(
                engine ->
                        IntStream.range(0, LocalCluster.INSTANCES)
                                .forEach(instance -> awaitKnown(instance, engine)));
    }

    @AfterEach
    void stopCluster() {
        mCluster.close();
    }

    /** Guards against a dossier being refused, cut or answered from a part of its prompt. */
    @Test
    void threeEnginesGiveOneWholeAnswer() {
        String prompt = prompt("lobby");
        Caller.Streamed answer =
                Caller.stream(mCluster.url(1), "dossier", prompt, ANSWER_TOKENS, text -> {});
        checkWhole(answer, prompt);
        awaitEmpty(ENGINES);
    }

    /** Guards against two runs that each hold what the other one needs. */
    @Test
    void twoPromptsThroughDifferentInstancesBothFinish() {
        CompletableFuture<?>[] answers =
                IntStream.range(0, 2)
                        .mapToObj(
                                number -> {
                                    String prompt = prompt("tower " + number);
                                    return later(number, prompt)
                                            .thenAccept(answer -> checkWhole(answer, prompt));
                                })
                        .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(answers).orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
        awaitEmpty(ENGINES);
    }

    /** Guards against a lost dossier, and against memory that a broken run leaves behind. */
    @Test
    void killedEngineLosesNoDossierAndNoMemory() {
        String prompt = prompt("hotel");
        CompletableFuture<Caller.Streamed> answer = later(2, prompt);
        Waiting.until(
                "an engine holds a part of the prompt",
                () -> ENGINES.stream().anyMatch(engine -> !exports(engine).isEmpty()));
        String holder =
                ENGINES.stream()
                        .filter(engine -> !exports(engine).isEmpty())
                        .findFirst()
                        .orElse(ENGINES.getFirst());
        mCluster.upstream(holder).kill();
        List<String> left = ENGINES.stream().filter(engine -> !engine.equals(holder)).toList();
        awaitEmpty(left);
        mCluster.startEngine(
                "engine-4",
                "klang-a",
                "--time-scale",
                "0.25",
                "--memory-tokens",
                String.valueOf(MEMORY_TOKENS));
        checkWhole(answer.orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join(), prompt);
        awaitEmpty(left);
        awaitEmpty(List.of("engine-4"));
    }

    /** Guards against a prompt waiting until its deadline for engines that don't exist. */
    @Test
    void promptBeyondAllEnginesIsRefusedAsNotRun() {
        String prompt = "x".repeat(4 * 31_000);
        Caller.Answer answer = Caller.complete(mCluster.url(3), "dossier", prompt, ANSWER_TOKENS);
        assertThat(answer.body(), answer.status(), is(413));
        assertThat(answer.type(), equalTo("prompt_too_long"));
        assertThat(answer.ran(), equalTo("no"));
        Caller.Answer refused =
                Caller.complete(mCluster.url(3), "quick", prompt("quick"), ANSWER_TOKENS);
        assertThat(refused.body(), containsString("prompt_too_long"));
        assertThat(refused.ran(), equalTo("no"));
    }

    private void startEngine(int number) {
        mCluster.startEngine(
                ENGINES.get(number),
                DOMAINS.get(number),
                "--time-scale",
                "0.25",
                "--memory-tokens",
                String.valueOf(MEMORY_TOKENS));
    }

    private void awaitKnown(int instance, String engine) {
        Waiting.until(
                "instance " + instance + " knows " + engine,
                () ->
                        mCluster.instance(instance)
                                .log()
                                .contains("event=upstream_announced upstream=" + engine));
    }

    private CompletableFuture<Caller.Streamed> later(int instance, String prompt) {
        return Caller.streamLater(
                mCluster.url(instance), "dossier", prompt, ANSWER_TOKENS, text -> {});
    }

    private void awaitEmpty(List<String> engines) {
        engines.forEach(
                engine ->
                        Waiting.until(
                                engine + " holds nothing",
                                () ->
                                        exports(engine).isEmpty()
                                                && listing(engine).path("requests").isEmpty()));
    }

    private JsonNode exports(String engine) {
        return listing(engine).path("exports");
    }

    private JsonNode listing(String engine) {
        return Caller.get(mCluster.upstreamUrl(engine) + "/engine/v1/requests").json();
    }

    private static String prompt(String name) {
        String line = "Refurbishment of " + name + ", floor by floor. ";
        return line.repeat(PROMPT_CHARACTERS / line.length() + 1).substring(0, PROMPT_CHARACTERS);
    }

    private static void checkWhole(Caller.Streamed answer, String prompt) {
        assertThat(answer.error(), equalTo(""));
        assertThat(answer.text(), equalTo(Caller.expected(prompt, ANSWER_TOKENS)));
        assertThat(answer.complete(), is(true));
    }
}
