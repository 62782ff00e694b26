package dev.kumquatweir.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StandinServiceTest {
    private StandinService mService;
    private Calls mCalls;

    @BeforeEach
    void start() throws Exception {
        mService =
                new StandinService(
                        StandinServiceSettings.builder("bookings-a").prefix("/app/").build());
        mService.start();
        mCalls = new Calls(mService.address());
    }

    @AfterEach
    void stop() {
        mService.die();
    }

    @Test
    void eachExecutionIsCountedByItsKey() {
        hold("key-1");
        hold("key-1");
        Calls.Answer answer = hold("key-2");

        assertThat(
                answer.body().toString(),
                is("{\"action\":3,\"kind\":\"deposit-holds\",\"key\":\"key-2\"}"));
        assertThat(ledger(), is("{\"key-1\":2,\"key-2\":1}"));
    }

    @Test
    void pathOutsideThePrefixExecutesNothing() {
        assertThat(mCalls.post("/other", "{\"key\":\"key-1\"}").status(), is(404));
        assertThat(ledger(), is("{}"));
    }

    @Test
    void errorAfterTheExecutionIsStillInTheLedger() {
        mCalls.fault("error_after", "502");
        assertThat(hold("key-1").status(), is(502));
        assertThat(ledger(), is("{\"key-1\":1}"));
        mCalls.fault("error_after", "false");
        assertThat(hold("key-2").status(), is(200));
    }

    @Test
    void connectionClosedAfterTheExecutionLeavesItInTheLedger() {
        mCalls.fault("close_after", "{\"calls\":1}");
        Assertions.assertThrows(UncheckedIOException.class, () -> hold("key-1"));
        assertThat(ledger(), is("{\"key-1\":1}"));
        assertThat(hold("key-2").status(), is(200));
    }

    @Test
    void connectionClosedBeforeTheExecutionLeavesNothingInTheLedger() {
        mCalls.fault("close_before", "true");
        Assertions.assertThrows(UncheckedIOException.class, () -> hold("key-1"));
        assertThat(ledger(), is("{}"));
    }

    @Test
    void delayedAnswerArrivesAfterTheExecution() {
        mCalls.fault("delay", "300");
        CompletableFuture<Calls.Answer> answer =
                mCalls.postLater("/app/deposit-holds", "{\"key\":\"key-1\"}");
        Calls.await("executed", () -> mService.ledger().executions().containsKey("key-1"));

        assertThat(answer.join().status(), is(200));
    }

    @Test
    void silentConnectionExecutesNothingWhileNewOnesWork() {
        hold("key-1");
        new Calls(mService.address()).fault("silent", "true");
        CompletableFuture<Calls.Answer> unanswered =
                mCalls.postLater("/app/deposit-holds", "{\"key\":\"key-2\"}");
        Calls fresh = new Calls(mService.address());
        fresh.post("/app/deposit-holds", "{\"key\":\"key-3\"}");
        fresh.post("/app/deposit-holds", "{\"key\":\"key-4\"}");

        assertThat(unanswered.isDone(), is(false));
        assertThat(mService.ledger().executions().toString(), is("{key-1=1, key-3=1, key-4=1}"));
    }

    @Test
    void silenceAfterTheExecutionLeavesItInTheLedger() {
        mCalls.fault("silent_after", "{\"calls\":1}");
        CompletableFuture<Calls.Answer> unanswered =
                mCalls.postLater("/app/deposit-holds", "{\"key\":\"key-1\"}");
        Calls.await("executed", () -> mService.ledger().executions().containsKey("key-1"));
        new Calls(mService.address()).post("/app/deposit-holds", "{\"key\":\"key-2\"}");

        assertThat(unanswered.isDone(), is(false));
    }

    @Test
    void deadServiceRefusesConnections() {
        hold("key-1");
        mCalls.fault("die", "true");

        Calls.await("connection refused", this::refused);
    }

    @Test
    void serviceAnnouncesItselfWithItsKind() throws Exception {
        try (FakeKumquatweir kumquatweir = new FakeKumquatweir();
                StandinService service =
                        new StandinService(
                                StandinServiceSettings.builder("bookings-b")
                                        .service("bookings")
                                        .reports(
                                                ReportSettings.to(
                                                                List.of(kumquatweir.address()),
                                                                "key")
                                                        .paced(20, 10, 20))
                                        .build())) {
            service.start();
            Calls.await("announced", () -> kumquatweir.count("heartbeat") > 0);
            assertThat(kumquatweir.last("announce").path("kind").asText(), is("service"));
            service.close();
            assertThat(kumquatweir.count("leave"), is(1));
        }
    }

    private boolean refused() {
        try {
            ledger();
            return false;
        } catch (UncheckedIOException exception) {
            return exception.getCause() instanceof ConnectException;
        }
    }

    private Calls.Answer hold(String key) {
        return mCalls.post("/app/deposit-holds", "{\"key\":\"" + key + "\"}");
    }

    private String ledger() {
        return new Calls(mService.address())
                .get("/standin/v1/ledger")
                .body()
                .path("executions")
                .toString();
    }
}
