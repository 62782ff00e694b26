package dev.kumquatweir.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import dev.kumquatweir.standin.model.EngineSpeed;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineReportTest {
    private FakeKumquatweir mFirst;
    private FakeKumquatweir mSecond;
    private StandinEngine mEngine;
    private Calls mCalls;

    @BeforeEach
    void start() throws Exception {
        mFirst = new FakeKumquatweir();
        mSecond = new FakeKumquatweir();
        mEngine =
                new StandinEngine(
                        StandinEngineSettings.builder("engine-a")
                                .failureDomain("klang-a")
                                .service("quote-llm")
                                .speed(EngineSpeed.USUAL.scaled(0.5))
                                .restartMillis(10)
                                .reports(
                                        ReportSettings.to(
                                                        List.of(
                                                                mFirst.address(),
                                                                mSecond.address()),
                                                        "announce-key")
                                                .paced(20, 10, 20))
                                .build());
        mEngine.start();
        mCalls = new Calls(mEngine.address());
        Calls.await("announced", () -> mFirst.count("heartbeat") > 0);
    }

    @AfterEach
    void stop() {
        mEngine.die();
        mFirst.close();
        mSecond.close();
    }

    @Test
    void announcementCarriesEachFieldOfTheProtocol() {
        assertThat(
                mFirst.last("announce").toString(),
                is(
                        ("{\"id\":\"engine-a\",\"incarnation\":%d,\"address\":\"127.0.0.1:%d\","
                                        + "\"failure_domain\":\"klang-a\",\"kind\":\"engine\","
                                        + "\"service\":\"quote-llm\",\"models\":[\"standin\"],"
                                        + "\"memory_tokens\":400000,\"role\":\"mixed\","
                                        + "\"checks_fencing\":true,\"cold\":false,"
                                        + "\"cold_limit\":{\"requests\":2,\"prefill_tokens\":8000},"
                                        + "\"max_running\":64}")
                                .formatted(mEngine.incarnation(), mEngine.address().getPort())));
        assertThat(mFirst.authorizations(), contains("Bearer announce-key"));
    }

    @Test
    void failedAddressIsReplacedByTheNextOne() {
        mFirst.close();

        Calls.await("reports go on", () -> mSecond.count("heartbeat") > 2);
    }

    @Test
    void forgottenEngineAnnouncesItselfAgainWhenAsked() {
        int before = mFirst.count("announce");
        mFirst.answerNext("heartbeat", "{\"announce\":true}");

        Calls.await("announced again", () -> mFirst.count("announce") > before);
    }

    @Test
    void heartbeatsAreNumberedUpwards() {
        Calls.await("heartbeats", () -> mFirst.count("heartbeat") > 3);
        List<Long> numbers =
                mFirst.bodies("heartbeat").stream()
                        .map(body -> body.path("sequence").asLong())
                        .toList();

        assertThat(numbers, is(numbers.stream().distinct().sorted().toList()));
    }

    @Test
    void droppedCacheEventsLeaveGapAndResyncSendsTheWholeCache() {
        generateCached("a", 1, 2);
        Calls.await("events", () -> eventCount() == 2);
        mCalls.fault("drop_cache_events", "2");
        generateCached("b", 3, 4);
        mFirst.answerNext("cache-events", "{\"resync\":true}");
        generateCached("c", 5, 6);
        Calls.await("whole cache", () -> mFirst.last("cache-events").path("events").size() == 6);

        List<Long> firsts =
                mFirst.bodies("cache-events").stream()
                        .map(body -> body.path("first_sequence").asLong())
                        .toList();
        assertThat(firsts, contains(1L, 5L, 0L));
    }

    @Test
    void lagDelaysTheLoadInTheReports() {
        mCalls.fault("lag", "3600000");
        int before = mFirst.count("heartbeat");
        mCalls.generate(Calls.request("a", "question", 3_000));
        Calls.await("running", () -> state().path("load").path("running").asInt() == 1);
        Calls.await("heartbeats go on", () -> mFirst.count("heartbeat") > before + 3);
        assertThat(mFirst.last("heartbeat").path("running").asInt(), is(0));
        mCalls.fault("lag", "0");

        Calls.await("reported", () -> mFirst.last("heartbeat").path("running").asInt() == 1);
    }

    @Test
    void crashIsSeenByTheNewIncarnationAndColdReports() {
        long before = mEngine.incarnation();
        mCalls.fault("fall_over", "true");
        Calls.await(
                "new announcement",
                () -> mFirst.last("announce").path("incarnation").asLong() > before);

        assertThat(mFirst.last("announce").path("cold").asBoolean(), is(true));
    }

    @Test
    void frozenEngineSendsNoHeartbeat() {
        mCalls.fault("freeze", "true");
        Calls.await("heartbeats stop", this::quiet);
        mCalls.fault("freeze", "false");
        int before = mFirst.count("heartbeat");

        Calls.await("heartbeats go on", () -> mFirst.count("heartbeat") > before);
    }

    @Test
    void loadedModelIsAnnounced() {
        mCalls.post(
                "/engine/v1/orders", "{\"fencing\":1,\"order\":\"load_model\",\"model\":\"m\"}");

        Calls.await(
                "announced",
                () ->
                        mFirst.last("announce")
                                .path("models")
                                .toString()
                                .equals("[\"standin\",\"m\"]"));
    }

    @Test
    void plannedStopSaysThatTheEngineLeavesAndDeathDoesNot() {
        mEngine.close();
        assertThat(mFirst.count("leave"), is(1));
        assertThat(mFirst.last("leave").path("incarnation").asLong(), greaterThan(1_000_000_000L));
    }

    private void generateCached(String attempt, long firstHash, long secondHash) {
        String body =
                Calls.request(attempt, "x".repeat(2_048), 1)
                        .replace(
                                "{\"attempt",
                                "{\"prefix_hashes\":["
                                        + firstHash
                                        + ","
                                        + secondHash
                                        + "],\"attempt");
        mCalls.generate(body).end().join();
        Calls.await("finished", () -> state().path("load").path("running").asInt() == 0);
    }

    private int eventCount() {
        return mFirst.bodies("cache-events").stream()
                .mapToInt(body -> body.path("events").size())
                .sum();
    }

    private boolean quiet() {
        int before = mFirst.count("heartbeat");
        LockSupport.parkNanos(200_000_000);
        return mFirst.count("heartbeat") == before;
    }

    private JsonNode state() {
        return mCalls.get("/standin/v1/state").body();
    }
}
