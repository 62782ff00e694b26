package dev.kumquatweir.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.standin.model.EngineLimits;
import dev.kumquatweir.standin.model.EngineSpeed;
import dev.kumquatweir.standin.model.StandinTokens;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineProtocolTest {
    private static final EngineLimits LIMITS =
            new EngineLimits(10_000, 8, 2, 1_000, true, 0, 60_000);

    private StandinEngine mEngine;
    private StandinEngine mSecond;
    private Calls mCalls;

    @BeforeEach
    void start() throws Exception {
        mEngine = engine("engine-a", true);
        mSecond = engine("engine-b", false);
        mCalls = new Calls(mEngine.address());
    }

    @AfterEach
    void stop() {
        mEngine.die();
        mSecond.die();
    }

    @Test
    void streamedAnswerIsWholeAndEndsWithItsCounts() {
        Calls.Reading reading = mCalls.generate(Calls.request("a", "question", 200));
        reading.end().join();

        assertThat(reading.text(0), is(answer("question", 200)));
        assertThat(
                reading.hasLine(
                        "{\"finish\":\"length\",\"prompt_tokens\":2,\"cached_tokens\":0,"
                                + "\"completion_tokens\":200}"),
                is(true));
    }

    @Test
    void answerResumedOnAnotherEngineContinuesWithTheNextToken() {
        String first = answer("question", 50);
        String body =
                "{\"attempt\":\"b\",\"model\":\"standin\",\"prompt\":\"question\","
                        + "\"max_tokens\":80,"
                        + "\"resume\":{\"offset\":50,\"text\":\""
                        + first
                        + "\"}}";
        Calls.Reading reading = new Calls(mSecond.address()).generate(body);
        reading.end().join();

        assertThat(first + reading.text(50), is(answer("question", 80)));
    }

    @Test
    void refusalsSayThatNothingRan() {
        String longPrompt = "x".repeat(48_000);
        assertRefused(Calls.request("b", longPrompt, 10), 409, "memory_full");
        assertRefused(
                Calls.request("c", "x", 10).replace("standin", "other"), 409, "unknown_model");
        assertRefused("{\"attempt\":\"d\"}", 400, "malformed");
        mCalls.generate(Calls.request("a", "question", 2)).end().join();
        assertRefused(Calls.request("a", "question", 2), 409, "duplicate_attempt");
        mCalls.fault("cold", "true");
        assertRefused(Calls.request("e", "x".repeat(8_000), 2), 409, "cold_limit");
        mCalls.fault("cold", "false");
        mCalls.fault("refuse", "true");
        assertRefused(Calls.request("f", "x", 2), 409, "draining");
        assertThat(
                mCalls.get("/standin/v1/state").body().path("counts").path("accepted").asInt(),
                is(1));
    }

    @Test
    void cancelEndsTheStreamWithAnErrorAndFreesTheMemory() {
        Calls.Reading reading = mCalls.generate(Calls.request("a", "question", 2_000));
        Calls.await("first token", () -> reading.hasLine("index"));
        assertThat(listed(mCalls), containsString("\"attempt\":\"a\""));
        Calls.Answer answer = mCalls.post("/engine/v1/cancel", "{\"attempt\":\"a\"}");
        reading.end().join();

        assertThat(answer.body().path("cancelled").asBoolean(), is(true));
        assertThat(reading.hasLine("event: error"), is(true));
        assertThat(listed(mCalls), is("{\"requests\":[],\"exports\":[]}"));
    }

    @Test
    void lostCallerDoesNotLeakItsMemory() throws Exception {
        startAndDisconnect(mEngine, Calls.request("a", "question", 2_000));

        Calls.await("cancelled", () -> state(mCalls).contains("\"aborted\":1"));
        assertThat(listed(mCalls), containsString("\"requests\":[]"));
    }

    @Test
    void engineThatIgnoresDisconnectsRunsTheOrphanedAttemptToItsEnd() throws Exception {
        startAndDisconnect(mSecond, Calls.request("a", "question", 300));
        Calls second = new Calls(mSecond.address());

        Calls.await("ran to its end", () -> state(second).contains("\"finished\":1"));
    }

    @Test
    void attemptPastItsDeadlineEndsWithAnErrorAndNotAsWhole() {
        String body =
                Calls.request("a", "question", 2_000)
                        .replace("{\"attempt", "{\"deadline_ms\":100,\"attempt");
        Calls.Reading reading = mCalls.generate(body);
        reading.end().join();

        assertThat(reading.hasLine("\"type\":\"deadline_exceeded\""), is(true));
        assertThat(reading.hasLine("finish"), is(false));
    }

    @Test
    void exportedCacheServesAnotherEngineAndIsReleased() {
        String whole = "word ".repeat(9_600);
        String part = whole.substring(0, 32_000);
        mCalls.generate(Calls.request("part", part, 0)).end().join();
        Calls.Answer export = mCalls.post("/engine/v1/kv/export", "{\"attempt\":\"part\"}");
        String handle = export.body().path("handle").asText();
        assertThat(export.body().path("tokens").asInt(), is(8_000));
        assertThat(listed(mCalls), containsString(handle));

        Calls second = new Calls(mSecond.address());
        String source = "127.0.0.1:" + mEngine.address().getPort();
        String order = "{\"handle\":\"" + handle + "\",\"source\":\"" + source + "\"}";
        assertThat(second.post("/engine/v1/kv/import", order).status(), is(200));
        String body =
                Calls.request("rest", whole, 20)
                        .replace("{\"attempt", "{\"kv_handles\":[\"" + handle + "\"],\"attempt");
        Calls.Reading reading = second.generate(body);
        reading.end().join();
        assertThat(reading.text(0), is(answer(whole, 20)));

        String name = "{\"handle\":\"" + handle + "\"}";
        assertThat(mCalls.post("/engine/v1/kv/release", name).status(), is(200));
        assertThat(listed(mCalls), is("{\"requests\":[],\"exports\":[]}"));
        assertThat(second.post("/engine/v1/kv/import", order).errorType(), is("unknown_handle"));
    }

    @Test
    void orderWithAnOldFencingNumberIsRefusedAndChangesNothing() {
        String load =
                "{\"fencing\":7,\"order\":\"load_version\",\"model\":\"m\",\"version\":\"2\"}";
        assertThat(mCalls.post("/engine/v1/orders", load).status(), is(200));
        Calls.Answer stale =
                mCalls.post(
                        "/engine/v1/orders",
                        "{\"fencing\":6,\"order\":\"set_role\",\"role\":\"decode\"}");
        assertThat(stale.status(), is(409));
        assertThat(stale.errorType(), is("stale_fencing"));
        Calls.await(
                "version loaded", () -> state(mCalls).contains("\"models\":[\"standin\",\"m@2\"]"));
        assertThat(state(mCalls), containsString("\"role\":\"mixed\""));
    }

    private static void startAndDisconnect(StandinEngine engine, String body) throws Exception {
        String head = "POST /engine/v1/generate HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n";
        try (Socket socket =
                new Socket(engine.address().getAddress(), engine.address().getPort())) {
            String call = head.formatted(body.length()) + body;
            socket.getOutputStream().write(call.getBytes(StandardCharsets.UTF_8));
            assertThat(socket.getInputStream().read(), is((int) 'H'));
        }
    }

    private static String state(Calls calls) {
        return calls.get("/standin/v1/state").body().toString();
    }

    private void assertRefused(String body, int status, String type) {
        Calls.Answer answer = mCalls.post("/engine/v1/generate", body);
        assertThat(answer.status(), is(status));
        assertThat(answer.errorType(), is(type));
        assertThat(answer.body().path("error").path("ran").asText(), is("no"));
    }

    private static String listed(Calls calls) {
        return calls.get("/engine/v1/requests").body().toString();
    }

    private static String answer(String prompt, long tokens) {
        return StandinTokens.answer(StandinTokens.seed(prompt), tokens);
    }

    private static StandinEngine engine(String id, boolean cancels) throws Exception {
        StandinEngine engine =
                new StandinEngine(
                        StandinEngineSettings.builder(id)
                                .cancelsOnDisconnect(cancels)
                                .models(List.of("standin"))
                                .limits(LIMITS)
                                .speed(EngineSpeed.USUAL.scaled(0.25))
                                .build());
        engine.start();
        return engine;
    }
}
