package dev.kumquatweir.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import dev.kumquatweir.standin.model.EngineLimits;
import dev.kumquatweir.standin.model.EngineSpeed;
import dev.kumquatweir.standin.model.StandinTokens;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineFaultTest {
    private static final EngineLimits LIMITS =
            new EngineLimits(100_000, 8, 2, 1_000, false, 0, 60_000);

    private final AtomicBoolean mDied = new AtomicBoolean();
    private StandinEngine mEngine;
    private Calls mCalls;

    @BeforeEach
    void start() throws Exception {
        mEngine =
                new StandinEngine(
                        StandinEngineSettings.builder("engine-a")
                                .limits(LIMITS)
                                .speed(EngineSpeed.USUAL.scaled(0.5))
                                .restartMillis(10)
                                .drainMillis(60_000)
                                .build(),
                        () -> mDied.set(true));
        mEngine.start();
        mCalls = new Calls(mEngine.address());
    }

    @AfterEach
    void stop() {
        mEngine.die();
    }

    @Test
    void silentConnectionStaysOpenWithoutWordWhileNewConnectionsWork() {
        Calls.Reading reading = running("a", 3_000);
        Calls other = new Calls(mEngine.address());
        other.fault("silent", "true");
        CompletableFuture<Void> fresh =
                new Calls(mEngine.address()).generate(Calls.request("b", "question", 100)).end();
        fresh.join();
        int seen = reading.lines().size();
        new Calls(mEngine.address()).generate(Calls.request("c", "question", 200)).end().join();

        assertThat(reading.lines().size(), is(seen));
        assertThat(reading.end().isDone(), is(false));
    }

    @Test
    void frozenEngineAnswersNothingAndGoesOnAfterwards() {
        Calls.Reading reading = running("a", 300);
        Calls other = new Calls(mEngine.address());
        other.fault("freeze", "true");
        CompletableFuture<Calls.Answer> waiting =
                mCalls.postLater("/engine/v1/cancel", "{\"attempt\":\"none\"}");
        Calls.await("no token passes in a while", () -> quiet(reading));
        assertThat(waiting.isDone(), is(false));
        other.fault("freeze", "false");
        reading.end().join();

        assertThat(reading.text(0), is(answer("question", 300)));
        assertThat(waiting.join().status(), is(200));
    }

    @Test
    void crashOnContentBreaksNeighboursOffAndReturnsColdUnderNewIncarnation() {
        long before = mEngine.incarnation();
        Calls.Reading neighbour = running("a", 3_000);
        mCalls.fault("crash_on", "\"poison\"");
        Calls.Reading culprit = mCalls.generate(Calls.request("b", "poison", 10));
        assertBroken(neighbour);
        assertBroken(culprit);
        Calls.await("new incarnation", () -> mEngine.incarnation() > before);

        assertThat(state("load", "cold").asBoolean(), is(true));
        assertThat(state("load", "memory_used_tokens").asInt(), is(0));
        assertThat(state("counts", "crashes").asInt(), is(1));
        mCalls.generate(Calls.request("a", "question", 5)).end().join();
    }

    @Test
    void crashOnAnswerComesForTextInAnyMessageOfPrompt() {
        long before = mEngine.incarnation();
        Calls.Reading neighbour = running("a", 3_000);
        mCalls.fault("crash_on_answer", "\"poison\"");
        Calls.Reading culprit =
                mCalls.generate(
                        Calls.request("b", "system: rules user: some poison user: question", 10));
        assertBroken(neighbour);
        assertBroken(culprit);
        assertThat(culprit.hasLine("index"), is(false));
        Calls.await("new incarnation", () -> mEngine.incarnation() > before);
        assertThat(state("counts", "crashes").asInt(), is(1));

        mCalls.fault("crash_on_answer", "\"\"");
        mCalls.generate(Calls.request("c", "user: some poison user: question", 5)).end().join();
    }

    @Test
    void coldEngineUnderMoreThanItsLimitFallsOver() {
        mCalls.fault("cold", "true");
        Calls.Reading first = running("a", 3_000);
        running("b", 3_000);
        mCalls.generate(Calls.request("c", "question", 10));

        assertBroken(first);
    }

    @Test
    void hiddenColdIsNotReported() {
        mCalls.fault("cold", "\"hidden\"");
        assertThat(state("load", "cold").asBoolean(), is(false));
        mCalls.fault("cold", "true");
        assertThat(state("load", "cold").asBoolean(), is(true));
    }

    @Test
    void engineThatFallsOverListensAgainOnItsPort() {
        long before = mEngine.incarnation();
        Calls.Reading reading = running("a", 3_000);
        mCalls.fault("fall_over", "true");
        assertBroken(reading);
        Calls.await("new incarnation", () -> mEngine.incarnation() > before);

        assertThat(new Calls(mEngine.address()).get("/engine/v1/requests").status(), is(200));
    }

    @Test
    void deadEngineRefusesConnections() {
        Calls.Reading reading = running("a", 3_000);
        mCalls.fault("die", "true");
        assertBroken(reading);
        Calls.await("died", mDied::get);
        Calls.await("connection refused", this::refused);
    }

    @Test
    void plannedStopLetsTheRunningAnswerEnd() {
        Calls.Reading reading = running("a", 300);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(mEngine::close);
        reading.end().join();
        stopped.join();

        assertThat(reading.text(0), is(answer("question", 300)));
    }

    @Test
    void unknownFaultIsRefused() {
        assertThat(mCalls.post("/standin/v1/fault", "{\"fault\":\"none\"}").status(), is(400));
    }

    private Calls.Reading running(String attempt, long tokens) {
        Calls.Reading reading = mCalls.generate(Calls.request(attempt, "question", tokens));
        Calls.await("first token of " + attempt, () -> reading.hasLine("index"));
        return reading;
    }

    private static boolean quiet(Calls.Reading reading) {
        int before = reading.lines().size();
        LockSupport.parkNanos(50_000_000);
        return reading.lines().size() == before;
    }

    private static void assertBroken(Calls.Reading reading) {
        Calls.await("stream ends", () -> reading.end().isDone());
        assertThat(reading.end().isCompletedExceptionally(), is(true));
        assertThat(reading.hasLine("finish"), is(false));
    }

    private JsonNode state(String part, String field) {
        Calls fresh = new Calls(mEngine.address());
        return fresh.get("/standin/v1/state").body().path(part).path(field);
    }

    private boolean refused() {
        try {
            new Calls(mEngine.address()).get("/standin/v1/state");
            return false;
        } catch (UncheckedIOException exception) {
            return exception.getCause() instanceof ConnectException;
        }
    }

    private static String answer(String prompt, long tokens) {
        return StandinTokens.answer(StandinTokens.seed(prompt), tokens);
    }
}
