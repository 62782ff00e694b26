package dev.kumquatweir.program.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertAll;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Chats, no two alike, that share one message on which engines crash, beside sound chats of the
 * same caller that share the other messages.
 */
class PoisonousMessageIt {
    private static final List<String> ENGINES =
            List.of("engine-1", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6");
    private static final List<String> DOMAINS = List.of("klang-a", "klang-b", "klang-c");
    private static final String SYSTEM = "You are an estimator of refurbishment work.";
    private static final String HISTORY = "The lobby has forty chairs.";
    private static final String POISON = "a poisonous price list";
    private static final int CALLERS = 8;
    private static final int SOUND_TOKENS = 40;
    private static final int POISONOUS_TOKENS = 10;
    private static final int CRASHES_TO_LEARN = 5;
    private static final int ALLOWED_LATER = 3;
    private static final long ALLOWED_SENT = 3;
    private static final Duration LEARNING = Duration.ofSeconds(3);
    private static final Duration INTERVAL = Duration.ofMillis(500);
    private static final int EARLY_CHATS = 24;
    private static final int LATER_CHATS = 24;

    @TempDir Path mFolder;

    private final Queue<Sound> mSound = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private int mPoisonous;

    private record Sound(List<String> messages, Caller.Answer answer) {
        boolean whole() {
            String text = answer.json().at("/choices/0/message/content").asText();
            return answer.status() == 200
                    && text.equals(Caller.expectedChat(messages, SOUND_TOKENS));
        }
    }

    /**
     * Guards against a shared message that crashes engines again with each new chat, and against
     * sound chats that are refused or lost for the messages that they share with it.
     */
    @Test
    void crashesNoMoreEnginesOnceItIsKnown() {
        try (LocalCluster cluster = LocalCluster.start(mFolder)) {
            startEngines(cluster);
            List<CompletableFuture<Void>> callers =
                    IntStream.range(0, CALLERS)
                            .mapToObj(number -> later(() -> sendSound(cluster, number)))
                            .toList();
            Waiting.until("sound chats are answered", () -> mSound.size() >= CALLERS);
            List<CompletableFuture<Caller.Answer>> early = new ArrayList<>();
            while (crashes(cluster) < CRASHES_TO_LEARN && early.size() < EARLY_CHATS) {
                early.add(sendPoisonous(cluster));
            }
            Waiting.during(LEARNING);
            int known = crashes(cluster);
            List<CompletableFuture<Caller.Answer>> later = new ArrayList<>();
            IntStream.range(0, LATER_CHATS).forEach(number -> later.add(sendPoisonous(cluster)));
            List<Caller.Answer> answers = later.stream().map(CompletableFuture::join).toList();
            early.forEach(CompletableFuture::join);
            int soundAtEnd = mSound.size();
            Waiting.until("sound chats go on", () -> mSound.size() >= soundAtEnd + CALLERS);
            mStopped.set(true);
            callers.forEach(CompletableFuture::join);

            int crashes = crashes(cluster) - known;
            long reached = answers.stream().filter(answer -> !refusedUnsent(answer)).count();
            assertAll(
                    () -> assertThat("later crashes", crashes, lessThanOrEqualTo(ALLOWED_LATER)),
                    () -> assertThat("later chats sent", reached, lessThanOrEqualTo(ALLOWED_SENT)),
                    () -> assertThat(failures(), is(List.of())));
        }
    }

    private static void startEngines(LocalCluster cluster) {
        for (int number = 0; number < ENGINES.size(); number++) {
            cluster.startEngine(ENGINES.get(number), DOMAINS.get(number % DOMAINS.size()));
        }
        cluster.awaitEngines();
        ENGINES.forEach(engine -> cluster.fault(engine, "crash_on_answer", "\"" + POISON + "\""));
    }

    private void sendSound(LocalCluster cluster, int caller) {
        for (int number = 0; !mStopped.get(); number++) {
            String question = "question " + number + " of caller " + caller;
            List<String> messages = List.of(SYSTEM, HISTORY, question);
            String url = cluster.url(caller % LocalCluster.INSTANCES);
            mSound.add(new Sound(messages, Caller.chat(url, messages, SOUND_TOKENS)));
        }
    }

    /** Sends a chat and waits for the interval, but not for the answer. */
    private CompletableFuture<Caller.Answer> sendPoisonous(LocalCluster cluster) {
        int number = mPoisonous++;
        List<String> messages = List.of(SYSTEM, HISTORY, POISON, "poisonous question " + number);
        String url = cluster.url(number % LocalCluster.INSTANCES);
        CompletableFuture<Caller.Answer> answer =
                CompletableFuture.supplyAsync(
                        () -> Caller.chat(url, messages, POISONOUS_TOKENS),
                        task -> Thread.ofVirtual().start(task));
        Waiting.during(INTERVAL);
        return answer;
    }

    private List<Caller.Answer> failures() {
        return mSound.stream().filter(sound -> !sound.whole()).map(Sound::answer).toList();
    }

    private static boolean refusedUnsent(Caller.Answer answer) {
        return answer.type().equals("quarantined") && answer.ran().equals("no");
    }

    private static CompletableFuture<Void> later(Runnable task) {
        return CompletableFuture.runAsync(task, runnable -> Thread.ofVirtual().start(runnable));
    }

    /** Returns how often engines crashed, from their logs, since a crashed one answers nothing. */
    private static int crashes(LocalCluster cluster) {
        return ENGINES.stream()
                .mapToInt(
                        engine ->
                                cluster.upstream(engine).log().split("event=engine_crashed").length
                                        - 1)
                .sum();
    }
}
