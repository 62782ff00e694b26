package dev.kumquatweir.policy.oversize;

import static dev.kumquatweir.policy.RecoveryFixtures.MILLI;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent.BreakCause;
import dev.kumquatweir.policy.memory.AttemptIds;
import dev.kumquatweir.policy.memory.InstanceDirectory;
import dev.kumquatweir.policy.memory.MemoryLedger;
import dev.kumquatweir.policy.permit.PermitDecision;
import dev.kumquatweir.policy.permit.PermitHolder;
import dev.kumquatweir.policy.permit.PermitLedger;
import dev.kumquatweir.policy.permit.PermitResource;
import dev.kumquatweir.policy.permit.WeightLoadRateLimiter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class OversizeRunTest {
    private static final int ENGINES = 4;
    private static final long MEMORY_TOKENS = 100;
    private static final RequestFailure CALLER_DISCONNECTED =
            new RequestFailure.CallerDisconnected();

    private long mNowNanos = PermitLedger.LEASE_NANOS;
    private final PermitLedger mPermits = new PermitLedger(new WeightLoadRateLimiter(1, 1, 0), 0);
    private final List<Instance> mInstances = List.of(new Instance("a"), new Instance("b"));

    OversizeRunTest() {
        for (int engine = 0; engine < ENGINES; engine++) {
            mPermits.setLimit(new PermitResource.EngineMemory(engine(engine)), 1, MEMORY_TOKENS);
        }
    }

    /** Guards against steps in the wrong order, and memory or exports left after the answer. */
    @Test
    void runsAllStepsAndReleasesEverything() {
        OversizeRun run = start(mInstances.getFirst(), 0, 1, 2);
        List<OversizeAction> actions = complete(run);
        assertThat(
                actions.stream().map(OversizeRunTest::kind).toList(),
                contains("ReleaseKv", "Cancel", "ReleaseKv", "Cancel", "Complete"));
        assertAllMemoryFree();
    }

    /** Guards against leaked reservations and exports when a run ends early, at each step. */
    @Test
    void releasesEverythingWhenTheRunEndsEarlyAtAnyStep() {
        List<OversizeEvent> ends =
                List.of(
                        new OversizeEvent.Abandoned(CALLER_DISCONNECTED),
                        new OversizeEvent.StepFailed(engine(1), BreakCause.SILENT),
                        new OversizeEvent.EngineLost(engine(1)));
        for (OversizeEvent end : ends) {
            for (int steps = 0; steps < 8; steps++) {
                OversizeRun run = start(mInstances.getFirst(), 0, 1, 2);
                List<OversizeAction> actions = run.handle(new OversizeEvent.Tick(), mNowNanos);
                for (int step = 0; step < steps; step++) {
                    actions = run.handle(completionOf(actions), mNowNanos);
                }
                List<OversizeAction> last = run.handle(end, mNowNanos);
                assertThat(run.hasEnded(), is(true));
                long released =
                        last.stream().filter(action -> kind(action).equals("ReleaseKv")).count();
                boolean lostExport = end instanceof OversizeEvent.EngineLost && steps >= 5;
                long exports = (steps >= 2 ? 1L : 0L) + (steps >= 5 ? 1L : 0L);
                assertThat(released, is(exports - (lostExport ? 1 : 0)));
                assertThat(run.handle(new OversizeEvent.Tick(), mNowNanos), empty());
                assertAllMemoryFree();
            }
        }
    }

    /** Guards against a leaked export whose completion arrives after the run has ended. */
    @Test
    void releasesExportsThatCompleteAfterTheEnd() {
        OversizeRun run = start(mInstances.getFirst(), 0, 1);
        List<OversizeAction> prefill = run.handle(new OversizeEvent.Tick(), mNowNanos);
        List<OversizeAction> export = run.handle(completionOf(prefill), mNowNanos);
        OversizeEvent late = completionOf(export);
        run.handle(new OversizeEvent.Abandoned(CALLER_DISCONNECTED), mNowNanos);
        assertThat(
                run.handle(late, mNowNanos).getFirst(), instanceOf(OversizeAction.ReleaseKv.class));
    }

    /** Guards against a run that starts while some of its engines are still in use. */
    @Test
    void waitsUntilAllEnginesAreFree() {
        OversizeRun first = start(mInstances.getFirst(), 0, 1);
        first.handle(new OversizeEvent.Tick(), mNowNanos);
        OversizeRun second = start(mInstances.getLast(), 1, 2);
        assertThat(second.handle(new OversizeEvent.Tick(), mNowNanos), empty());
        assertThat(
                mPermits.outstandingAmount(new PermitResource.EngineMemory(engine(2)), mNowNanos),
                is(0L));
        first.handle(new OversizeEvent.Abandoned(CALLER_DISCONNECTED), mNowNanos);
        renew(0);
        renew(1);
        assertThat(
                kind(second.handle(new OversizeEvent.Tick(), mNowNanos).getFirst()), is("Perform"));
    }

    /** Guards against deadlock and starvation of runs that need the same engines. */
    @Property(seed = "2609", tries = 100)
    void completesAllRunsOverRandomSchedules(@ForAll long seed) {
        Random random = new Random(seed);
        List<OversizeRun> runs = new ArrayList<>();
        List<List<OversizeAction>> pending = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            List<Integer> engines = new ArrayList<>(List.of(0, 1, 2, 3));
            Collections.shuffle(engines, random);
            int[] chosen =
                    engines.stream()
                            .limit(2 + random.nextInt(3))
                            .mapToInt(Integer::intValue)
                            .toArray();
            runs.add(run(mInstances.get(random.nextInt(2)), chosen));
            pending.add(List.of());
        }
        for (int step = 0; step < 6_000; step++) {
            mNowNanos += 50 * MILLI;
            renew(random.nextInt(2));
            int number = random.nextInt(runs.size());
            List<OversizeAction> actions = pending.get(number);
            boolean running = !actions.isEmpty() && kind(actions.getFirst()).equals("Perform");
            OversizeEvent event = running ? completionOf(actions) : new OversizeEvent.Tick();
            if (running && random.nextInt(60) == 0) {
                event = new OversizeEvent.Abandoned(CALLER_DISCONNECTED);
            }
            pending.set(number, runs.get(number).handle(event, mNowNanos));
        }
        for (OversizeRun run : runs) {
            assertThat(run.hasEnded(), is(true));
        }
        assertAllMemoryFree();
    }

    private OversizeRun start(Instance instance, int... engines) {
        OversizeRun run = run(instance, engines);
        run.handle(new OversizeEvent.Tick(), mNowNanos);
        renew(mInstances.indexOf(instance));
        return run;
    }

    private static OversizeRun run(Instance instance, int... engines) {
        List<PromptPart> parts = new ArrayList<>();
        for (int engine : engines) {
            int number = parts.size();
            parts.add(
                    new PromptPart(
                            number,
                            engine(engine),
                            1,
                            instance.mIds.next(),
                            number * 60L,
                            number * 60L + 60,
                            60));
        }
        return new OversizeRun(new OversizePlan(parts), instance.mHolder, instance.mLedger);
    }

    private List<OversizeAction> complete(OversizeRun run) {
        List<OversizeAction> actions = run.handle(new OversizeEvent.Tick(), mNowNanos);
        while (!run.hasEnded()) {
            actions = run.handle(completionOf(actions), mNowNanos);
        }
        return actions;
    }

    private void renew(int number) {
        PermitHolder holder = mInstances.get(number).mHolder;
        PermitDecision decision = mPermits.renew(holder.nextRequest(mNowNanos), mNowNanos);
        holder.acceptGrant(((PermitDecision.Answer) decision).grant(), mNowNanos);
    }

    private void assertAllMemoryFree() {
        renew(0);
        renew(1);
        for (int engine = 0; engine < ENGINES; engine++) {
            PermitResource memory = new PermitResource.EngineMemory(engine(engine));
            assertThat(mPermits.outstandingAmount(memory, mNowNanos), is(0L));
            for (Instance instance : mInstances) {
                assertThat(instance.mLedger.freeTokens(engine(engine)), is(MEMORY_TOKENS));
            }
        }
    }

    private static OversizeEvent completionOf(List<OversizeAction> actions) {
        OversizeStep step = ((OversizeAction.Perform) actions.getFirst()).step();
        return step instanceof OversizeStep.ExportKv export
                ? new OversizeEvent.Exported(export.part(), export.part().attempt().value() + "/kv")
                : new OversizeEvent.StepCompleted(step);
    }

    private static String kind(OversizeAction action) {
        return action.getClass().getSimpleName();
    }

    private static UpstreamId engine(int number) {
        return new UpstreamId("engine-" + number);
    }

    private static final class Instance {
        private final PermitHolder mHolder;
        private final MemoryLedger mLedger;
        private final AttemptIds mIds;

        Instance(String name) {
            InstanceId id = new InstanceId(name);
            mHolder = new PermitHolder(id, 1);
            mIds = new AttemptIds(id, 1);
            mLedger = MemoryLedger.builder(id, 1, new InstanceDirectory()).build();
            for (int engine = 0; engine < ENGINES; engine++) {
                mLedger.updateEngine(engine(engine), 1, MEMORY_TOKENS);
            }
        }
    }
}
