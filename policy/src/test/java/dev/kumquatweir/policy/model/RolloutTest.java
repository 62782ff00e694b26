package dev.kumquatweir.policy.model;

import static dev.kumquatweir.policy.RecoveryFixtures.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RolloutTest {
    private static final ModelVariant OLD = new ModelVariant(new ModelName("quote"), "v1", null);
    private static final ModelVariant NEW = new ModelVariant(new ModelName("quote"), "v2", null);
    private static final int NEEDED = 6;

    private final Rollout mRollout = Rollout.builder(OLD, NEW).build();
    private final Fleet mFleet = new Fleet(8);

    /**
     * Guards against updating further engines before the new version has been observed long enough.
     */
    @Test
    void doublesItsStepsOnlyAfterObservation() {
        assertThat(advance(0, 4), is(1));
        assertThat(advance(1, 4), is(0));
        mFleet.finishLoads();
        assertThat(waitReason(2), is(RolloutDecision.Reason.EVIDENCE));
        assertThat(waitReason(100), is(RolloutDecision.Reason.EVIDENCE));
        serve(NEW, 50, 0, 0);
        assertThat(advance(101, 0), is(0));
        assertThat(advance(102, 4), is(2));
        mFleet.finishLoads();
        advance(103, 4);
        serve(NEW, 50, 0, 0);
        assertThat(advance(150, 4), is(0));
        assertThat(advance(163, 4), is(2));
    }

    /** Guards against a rollout that continues although requests on the new version fail. */
    @Test
    void stopsAndRollsBackWhenTheNewVersionFails() {
        advance(0, 4);
        mFleet.finishLoads();
        advance(1, 4);
        serve(OLD, 100, 1, 1);
        serve(NEW, 40, 5, 0);
        assertThat(advance(2, 4), is(1));
        assertThat(mFleet.count(NEW), is(0));
        assertThat(waitReason(3), is(RolloutDecision.Reason.LOADING));
        mFleet.finishLoads();
        assertThat(
                mRollout.next(mFleet.view(4), 4 * SECOND),
                is(new RolloutDecision.RolledBack(RolloutDecision.StopCause.FAILURES)));
    }

    /** Guards against stopping a new version for failures that the old version has too. */
    @Test
    void comparesWithTheOldVersion() {
        advance(0, 4);
        mFleet.finishLoads();
        advance(1, 4);
        serve(OLD, 80, 20, 20);
        serve(NEW, 40, 10, 10);
        assertThat(waitReason(2), is(RolloutDecision.Reason.EVIDENCE));
        assertThat(advance(62, 4), is(2));
    }

    /**
     * Guards against ignoring one of the other stop causes: crashes, failed loads, late first
     * tokens, and operators.
     */
    @Test
    void stopsOnDeathsFailedLoadsLateTokensAndOperators() {
        assertThat(
                causeOf(rollout -> twice(rollout::recordEngineCrash)),
                is(RolloutDecision.StopCause.DEATHS));
        assertThat(
                causeOf(rollout -> twice(rollout::recordLoadFailure)),
                is(RolloutDecision.StopCause.LOAD_FAILED));
        assertThat(
                causeOf(
                        rollout -> {
                            for (int request = 0; request < 20; request++) {
                                rollout.recordOutcome(NEW, true, request < 10);
                            }
                        }),
                is(RolloutDecision.StopCause.LATE_FIRST_TOKENS));
        assertThat(causeOf(Rollout::stop), is(RolloutDecision.StopCause.OPERATORS));
    }

    /** Guards against a rollout or rollback that occupies engines that the profiles need. */
    @Property(seed = "2611", tries = 200)
    void neverFallsBelowTheNeededCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(NEEDED + random.nextInt(6));
        Rollout rollout = Rollout.builder(OLD, NEW).build();
        boolean bad = random.nextBoolean();
        int least = fleet.mEngines.size() > NEEDED ? NEEDED : NEEDED - 1;
        RolloutDecision last = new RolloutDecision.Wait(RolloutDecision.Reason.LOADING);
        for (int second = 0; second < 2_000; second++) {
            last = rollout.next(fleet.view(random.nextInt(4)), second * SECOND);
            if (last instanceof RolloutDecision.SendOrders order) {
                order.orders().forEach(fleet::apply);
            }
            assertThat(fleet.serving(), greaterThanOrEqualTo(least));
            if (random.nextInt(5) == 0) {
                fleet.finishLoads();
            }
            for (int request = 0; request < 4; request++) {
                rollout.recordOutcome(OLD, true, false);
                rollout.recordOutcome(NEW, !bad || fleet.count(NEW) < 3, false);
            }
        }
        if (fleet.mEngines.size() == NEEDED) {
            assertThat(last, instanceOf(RolloutDecision.Wait.class));
            assertThat(fleet.count(NEW), is(0));
        } else if (bad) {
            assertThat(last, instanceOf(RolloutDecision.RolledBack.class));
            assertThat(fleet.count(OLD), is(fleet.mEngines.size()));
        } else {
            assertThat(last, is(new RolloutDecision.Completed()));
            assertThat(fleet.count(OLD), lessThan(1));
        }
    }

    private static RolloutDecision.StopCause causeOf(Consumer<Rollout> fault) {
        Rollout rollout = Rollout.builder(OLD, NEW).build();
        fault.accept(rollout);
        RolloutDecision decision = rollout.next(new Fleet(8).view(1), 0);
        return ((RolloutDecision.RolledBack) decision).cause();
    }

    private static void twice(Runnable fault) {
        fault.run();
        fault.run();
    }

    private int advance(long second, int permits) {
        RolloutDecision decision = mRollout.next(mFleet.view(permits), second * SECOND);
        if (decision instanceof RolloutDecision.SendOrders order) {
            order.orders().forEach(mFleet::apply);
            return order.orders().size();
        }
        return 0;
    }

    private RolloutDecision.Reason waitReason(long second) {
        RolloutDecision decision = mRollout.next(mFleet.view(4), second * SECOND);
        return ((RolloutDecision.Wait) decision).reason();
    }

    private void serve(ModelVariant variant, int succeeded, int failed, int late) {
        for (int request = 0; request < succeeded + failed; request++) {
            mRollout.recordOutcome(variant, request >= failed, request < late);
        }
    }

    private static final class Fleet {
        private final List<EngineModels> mEngines = new ArrayList<>();

        Fleet(int size) {
            for (int number = 0; number < size; number++) {
                mEngines.add(engine("engine-" + number, OLD, false));
            }
        }

        RolloutView view(int permits) {
            return new RolloutView(mEngines, NEEDED, permits);
        }

        void apply(ModelOrder order) {
            ModelOrder.LoadVersion load = (ModelOrder.LoadVersion) order;
            mEngines.replaceAll(
                    engine ->
                            engine.upstream().equals(load.upstream())
                                    ? engine(load.upstream().value(), load.variant(), true)
                                    : engine);
        }

        void finishLoads() {
            mEngines.replaceAll(
                    engine ->
                            engine(
                                    engine.upstream().value(),
                                    engine.loaded().iterator().next(),
                                    false));
        }

        int count(ModelVariant variant) {
            return (int)
                    mEngines.stream().filter(engine -> engine.loaded().contains(variant)).count();
        }

        int serving() {
            return (int) mEngines.stream().filter(engine -> !engine.loading()).count();
        }

        private static EngineModels engine(String name, ModelVariant loaded, boolean loading) {
            return new EngineModels(
                    new UpstreamId(name),
                    new FailureDomain("klang-a"),
                    Set.of(loaded),
                    1,
                    UpstreamRole.MIXED,
                    true,
                    loading);
        }
    }
}
