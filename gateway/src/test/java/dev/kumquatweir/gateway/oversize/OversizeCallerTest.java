package dev.kumquatweir.gateway.oversize;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.configuration.UpstreamKind;
import dev.kumquatweir.core.control.LeasedConfiguration;
import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ServiceName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.dispatch.AttemptListener;
import dev.kumquatweir.gateway.dispatch.AttemptOrder;
import dev.kumquatweir.gateway.dispatch.GenerationSummary;
import dev.kumquatweir.gateway.dispatch.Work;
import dev.kumquatweir.gateway.http.JsonBodies;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.oversize.EngineAdmission;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.ColdLimit;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whatever fails, a run tells its end once and nothing is left on the engines. */
class OversizeCallerTest {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final AttemptId WHOLE = new AttemptId("whole");

    /** 95 tokens; with an answer of 10 each of three engines takes 35. */
    private static final String PROMPT = "abcd".repeat(95);

    private final FakeEngines mEngines = new FakeEngines();
    private final Heard mHeard = new Heard();
    private volatile LeasedConfiguration mConfiguration = leased(ConfigurationDocument.EMPTY);
    private final OversizeCaller mCaller =
            new OversizeCaller(
                    mEngines,
                    mEngines,
                    () -> mConfiguration,
                    Clocks.system(),
                    new PartIds(new InstanceId("entry-1"), 7),
                    plan -> EngineAdmission.INSTANCE);

    @BeforeEach
    void start() {
        mCaller.start();
    }

    @AfterEach
    void stop() {
        mCaller.stop();
    }

    /** Guards against parts that overlap or leave a gap, and against caches that are left out. */
    @Test
    void eachPartGoesOnFromTheCachesOfTheEarlierOnes() {
        mCaller.start(order(), mHeard);
        awaitNothingHeld();
        assertThat(mHeard.mEvents, equalTo(List.of("accepted", "token 3", "finished 92")));
        List<AttemptOrder> orders = mEngines.mOrders;
        assertThat(
                orders.stream().map(order -> order.upstream().id().value()).toList(),
                equalTo(List.of("engine-1", "engine-3", "engine-2")));
        assertThat(
                orders.stream().map(order -> work(order).prompt().length()).toList(),
                equalTo(List.of(140, 280, 380)));
        assertThat(
                orders.stream().map(order -> order.kvHandles().size()).toList(),
                equalTo(List.of(0, 1, 2)));
        assertThat(
                orders.stream().map(order -> work(order).maximumTokens()).toList(),
                equalTo(List.of(0L, 0L, 10L)));
        assertThat(orders.getLast().resumeOffset(), is(3L));
        assertThat(orders.getLast().resumeText(), equalTo("one two three "));
    }

    /** Guards against memory left behind, and against an end that is wrong or not told. */
    @ParameterizedTest
    @CsvSource({
        "generate engine-1, MEMORY_FULL, refused MEMORY_FULL",
        "generate engine-3, MEMORY_FULL, refused MEMORY_FULL",
        "generate engine-2, MEMORY_FULL, refused MEMORY_FULL",
        "generate engine-3, CONNECTION_LOST, broken CONNECTION_LOST",
        "export engine-1, REFUSED, broken UPSTREAM_ERROR",
        "export engine-1, ANSWER_LOST, broken UPSTREAM_ERROR",
        "export engine-3, ANSWER_LOST, broken UPSTREAM_ERROR",
        "import engine-3, REFUSED, broken UPSTREAM_ERROR",
        "import engine-2, ANSWER_LOST, broken UPSTREAM_ERROR",
    })
    void failedCallBreaksTheWholeRun(String call, FakeEngines.Fault fault, String end) {
        mEngines.fail(call, fault);
        mCaller.start(order(), mHeard);
        awaitNothingHeld();
        assertThat(mHeard.mEvents, equalTo(List.of(end)));
    }

    /** Guards against a truncated answer that looks complete. */
    @Test
    void brokenAnswerIsNotFinished() {
        mEngines.fail("generate engine-2", FakeEngines.Fault.CONNECTION_LOST);
        mCaller.start(order(), mHeard);
        awaitNothingHeld();
        assertThat(
                mHeard.mEvents, equalTo(List.of("accepted", "token 3", "broken CONNECTION_LOST")));
    }

    /** Guards against an export that stays for ever because its release met a silent connection. */
    @Test
    void releaseWithoutAnswerIsRepeated() {
        mEngines.fail("release engine-1", FakeEngines.Fault.ANSWER_LOST);
        mCaller.start(order(), mHeard);
        awaitNothingHeld();
        assertThat(mHeard.mEvents.getLast(), equalTo("finished 92"));
    }

    /** Guards against a later part sent to a failure domain that was taken out meanwhile. */
    @Test
    void domainTakenOutInTheMiddleGetsNoFurtherPart() {
        mEngines.before(
                "export engine-1",
                () ->
                        mConfiguration =
                                leased(
                                        ConfigurationDocument.EMPTY.withDomainsOutOfService(
                                                Set.of(new FailureDomain("domain-3")))));
        mCaller.start(order(), mHeard);
        awaitNothingHeld();
        assertThat(mHeard.mEvents, equalTo(List.of("refused NOT_SENT")));
        assertThat(mEngines.mOrders.size(), is(1));
    }

    /** Guards against a later part sent by an instance that has lost its configuration lease. */
    @Test
    void lostLeaseStopsTheNextPart() {
        mEngines.before(
                "import engine-2",
                () ->
                        mConfiguration =
                                new LeasedConfiguration(
                                        1, ConfigurationDocument.EMPTY, System.nanoTime() - 1));
        mCaller.start(order(), mHeard);
        awaitNothingHeld();
        assertThat(mHeard.mEvents, equalTo(List.of("refused NOT_SENT")));
        assertThat(mEngines.mOrders.size(), is(2));
    }

    /** Guards against work that goes on for a caller that has left, at each step. */
    @ParameterizedTest
    @CsvSource({"generate engine-1", "export engine-1", "import engine-3", "generate engine-2"})
    void closedRunGivesEverythingBack(String call) {
        mEngines.fail(call, FakeEngines.Fault.HELD);
        Runnable close = mCaller.start(order(), mHeard);
        until(() -> !mEngines.mHeld.isEmpty() && mEngines.reached());
        close.run();
        mCaller.cancel(engine(2), WHOLE);
        mEngines.mGate.complete(null);
        awaitNothingHeld();
        assertThat(mHeard.mEvents, equalTo(List.of()));
    }

    private void awaitNothingHeld() {
        until(() -> mCaller.open() == 0);
        assertThat(mEngines.mHeld, equalTo(Set.of()));
    }

    private static void until(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > LIMIT_NANOS) {
                throw new AssertionError("did not happen in time");
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    private static AttemptOrder order() {
        Work.Generation work =
                new Work.Generation(new ModelName("quote-7b"), PROMPT, 10, JsonBodies.object());
        return new AttemptOrder(
                WHOLE,
                engine(2),
                List.of(engine(3), engine(1)),
                work,
                List.of(),
                3,
                "one two three ",
                5,
                60_000,
                List.of(),
                true);
    }

    private static Work.Generation work(AttemptOrder order) {
        return (Work.Generation) order.work();
    }

    private static LeasedConfiguration leased(ConfigurationDocument document) {
        return new LeasedConfiguration(1, document, System.nanoTime() + 2 * LIMIT_NANOS);
    }

    private static Announcement engine(int number) {
        return new Announcement(
                new UpstreamId("engine-" + number),
                1,
                "127.0.0.1:" + number,
                new FailureDomain("domain-" + number),
                UpstreamKind.ENGINE,
                new ServiceName("quote-llm"),
                Set.of(new ModelName("quote-7b")),
                50,
                UpstreamRole.MIXED,
                true,
                false,
                new ColdLimit(1, 1),
                8);
    }

    /** Writes down what the policy and the caller hear. */
    private static final class Heard implements AttemptListener {
        private final List<String> mEvents = new CopyOnWriteArrayList<>();

        @Override
        public void accepted() {
            mEvents.add("accepted");
        }

        @Override
        public void token(long index, String text) {
            mEvents.add("token " + index);
        }

        @Override
        public void finished(GenerationSummary summary) {
            mEvents.add("finished " + summary.cachedTokens());
        }

        @Override
        public void answered(RecordedResponse answer) {
            mEvents.add("answered");
        }

        @Override
        public void refused(AttemptEvent.RefusalReason reason) {
            mEvents.add("refused " + reason);
        }

        @Override
        public void broken(AttemptEvent.BreakCause how) {
            mEvents.add("broken " + how);
        }
    }
}
