package dev.kumquatweir.bench.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import dev.kumquatweir.standin.StandinEngine;
import dev.kumquatweir.standin.StandinEngineSettings;
import dev.kumquatweir.standin.StandinService;
import dev.kumquatweir.standin.StandinServiceSettings;
import dev.kumquatweir.standin.model.EngineSpeed;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.LongStream;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadRunnerTest {
    private static final LengthClass SHORT =
            new LengthClass("short", 100, 400, 1, 40, 60_000, null, true);

    @ParameterizedTest
    @CsvSource({
        "TRUNCATED_BUT_DONE, TRUNCATED",
        "ENDED_WITHOUT_DONE, TRUNCATED",
        "TOKEN_MISSING, TRUNCATED",
        "TOKEN_DOUBLED, DOUBLED",
        "DONE_DOUBLED, DOUBLED",
        "CORRUPT, CORRUPT",
        "CONNECTION_BROKEN, INTERRUPTED"
    })
    void eachWrongAnswerIsNoticed(FaultyServer.Mode mode, Violation violation) throws Exception {
        LoadReport report = chats(mode, SHORT);

        assertThat(report.violations(), is(Map.of(violation, report.chats())));
        assertThat(report.completed(), is(0L));
        assertThat(report.exitStatus(), is(1));
    }

    @Test
    void tokenOfAnotherRequestIsNoticedAsCrossed() throws Exception {
        LoadReport report = chats(FaultyServer.Mode.CROSSED, SHORT);

        // The first answer is crossed with a prompt that is not part of the run.
        assertThat(report.count(Violation.CROSSED), is(report.chats() - 1));
        assertThat(report.count(Violation.CORRUPT), is(1L));
    }

    /** Repeated, since the client may fail a response before or after it marks it as cancelled. */
    @RepeatedTest(3)
    void answerThatNeverComesIsLost() throws Exception {
        LengthClass brief = new LengthClass("brief", 100, 100, 1, 5, 100, null, false);
        LoadReport report = chats(FaultyServer.Mode.NEVER_ANSWERED, brief);

        assertThat(report.violations(), is(Map.of(Violation.LOST, report.chats())));
    }

    @Test
    void typedFailuresAndRefusalsAreNoViolations() throws Exception {
        LoadReport failed = chats(FaultyServer.Mode.TYPED_FAILURE, SHORT);
        LoadReport refused = chats(FaultyServer.Mode.REFUSED, SHORT);

        assertThat(failed.errors(), is(Map.of("upstream_failed", failed.failed())));
        assertThat(refused.errors(), is(Map.of("overloaded", refused.refused())));
        assertThat(failed.exitStatus() + refused.exitStatus(), is(0));
    }

    @ParameterizedTest
    @CsvSource({
        "ACTION_DOUBLED, EXECUTED_TWICE",
        "ACTION_FALSE_NOT_RUN, FALSE_NOT_RUN",
        "ACTION_NOT_EXECUTED, NOT_EXECUTED",
        "ACTION_CROSSED, CROSSED"
    })
    void eachBrokenActionIsNoticed(FaultyServer.Mode mode, Violation violation) throws Exception {
        LoadReport report = actions(mode);

        assertThat(report.violations(), is(Map.of(violation, report.actions())));
    }

    @Test
    void actionWithUnknownOutcomeIsSentAgainUnderItsKey() throws Exception {
        LoadReport report = actions(FaultyServer.Mode.ACTION_UNKNOWN_ONCE);

        assertThat(report.confirmed(), is(report.actions()));
        assertThat(report.resent(), is(report.actions()));
        assertThat(report.exitStatus(), is(0));
    }

    @Test
    void refusedConnectionIsNotCountedAsAnAnswer() {
        LoadReport report =
                runner(URI.create("http://127.0.0.1:1"), SHORT).durationMillis(200).build().run();

        assertThat(report.violations(), is(Map.of(Violation.INTERRUPTED, report.chats())));
    }

    @Test
    void runAgainstStandInsIsCleanAndReportsEachFigure() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        try (StandinEngine engine =
                        new StandinEngine(
                                StandinEngineSettings.builder("engine")
                                        .speed(EngineSpeed.USUAL.scaled(0.05))
                                        .build());
                StandinService service =
                        new StandinService(StandinServiceSettings.builder("service").build())) {
            engine.start();
            service.start();
            URI ledger = address(service.address());
            LoadReport chats =
                    runner(address(engine.address()), SHORT).output(lines::add).build().run();
            LoadReport actions =
                    runner(ledger, SHORT)
                            .chatsPerSecond(0)
                            .actions(50, List.of("/services/bookings/deposit-holds"))
                            .ledgers(List.of(ledger))
                            .build()
                            .run();

            assertThat(lines.toString(), chats.completed(), is(chats.chats()));
            assertThat(chats.tokens(), is(chats.chats() * SHORT.outputTokens()));
            assertThat(chats.classes().get(0).firstToken().count(), is(chats.chats()));
            assertThat(lines, hasItem(startsWith("class=short slowdown count=")));
            assertThat(lines, hasItem(startsWith("progress ")));
            assertThat(actions.confirmed(), is(actions.actions()));
            assertThat(actions.confirmed(), greaterThan(0L));
            assertThat(chats.exitStatus() + actions.exitStatus(), is(0));
        }
    }

    @Test
    void scheduleDependsOnNothingButItsSettings() {
        assertThat(LoadSchedule.plan(settings(7)), is(LoadSchedule.plan(settings(7))));
        assertThat(LoadSchedule.plan(settings(8)), is(not(LoadSchedule.plan(settings(7)))));
    }

    @Test
    void arrivalsKeepTheirRate() {
        double average =
                LongStream.range(0, 20)
                        .mapToInt(seed -> LoadSchedule.plan(settings(seed)).size())
                        .average()
                        .orElseThrow();

        // 60 calls a second for a minute; four standard errors of the mean of 20 Poisson counts.
        assertThat(average, closeTo(3_600, 54));
    }

    private static LoadSettings settings(long seed) {
        return new LoadSettings(
                List.of(URI.create("http://127.0.0.1:1")),
                "",
                "standin",
                "run",
                seed,
                60_000,
                50,
                List.of(SHORT, new LengthClass("long", 100_000, 200_000, 1, 5, 1, null, false)),
                3,
                0,
                10,
                List.of("/services/bookings"),
                List.of(),
                1,
                1,
                1,
                1,
                0,
                false);
    }

    private static LoadReport chats(FaultyServer.Mode mode, LengthClass lengthClass)
            throws Exception {
        try (FaultyServer server = new FaultyServer(mode)) {
            return runner(server.address(), lengthClass).build().run();
        }
    }

    private static LoadReport actions(FaultyServer.Mode mode) throws Exception {
        try (FaultyServer server = new FaultyServer(mode)) {
            return runner(server.address(), SHORT)
                    .chatsPerSecond(0)
                    .actions(20, List.of("/services/bookings/deposit-holds"))
                    .ledgers(List.of(server.address()))
                    .build()
                    .run();
        }
    }

    private static LoadRunner.Builder runner(URI target, LengthClass lengthClass) {
        return LoadRunner.builder(List.of(target))
                .apiKey("key")
                .runName("test")
                .seed(11)
                .durationMillis(500)
                .chatsPerSecond(40)
                .lengthClasses(List.of(lengthClass))
                .graceMillis(100)
                .progressMillis(50)
                .output(line -> {});
    }

    private static URI address(InetSocketAddress address) {
        return URI.create("http://127.0.0.1:" + address.getPort());
    }
}
