package dev.kumquatweir.policy.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class ModelPlannerTest {
    private static final ModelVariant QUOTE = variant("quote", "v1", null);
    private static final ModelVariant LOG = variant("log", "v1", null);
    private static final ModelVariant FABRIC = variant("quote", "v1", "fabric");

    private final ModelPlanner mPlanner = ModelPlanner.builder(10_000, 1_000).build();

    /** Guards against loading a model in one failure domain only, or beyond the load permits. */
    @Test
    void loadsWhatTheProfilesNeedSpreadOverDomainsWithinThePermits() {
        List<EngineModels> engines =
                List.of(engine(0, "a", 2), engine(1, "a", 2), engine(2, "b", 2));
        ModelPlan plan = mPlanner.plan(List.of(demand(QUOTE, 5_000, 0)), engines, 5);
        assertThat(
                plan.orders(),
                contains(
                        new ModelOrder.LoadModel(id(0), QUOTE, null),
                        new ModelOrder.LoadModel(id(2), QUOTE, null)));
        assertThat(plan.unmet(), anEmptyMap());
        ModelPlan limited = mPlanner.plan(List.of(demand(QUOTE, 5_000, 0)), engines, 1);
        assertThat(limited.orders(), hasSize(1));
        assertThat(limited.unmet(), is(Map.of(QUOTE, 1)));
    }

    /** Guards against unloading a model that is still needed to load another one. */
    @Test
    void replacesOnlyModelsWithSpareEngines() {
        List<EngineModels> engines =
                List.of(
                        engine(0, "a", 1, QUOTE),
                        engine(1, "b", 1, QUOTE),
                        engine(2, "c", 1, QUOTE));
        List<ModelDemand> demands = List.of(demand(QUOTE, 0, 0), demand(LOG, 0, 0));
        ModelPlan plan = mPlanner.plan(demands, engines, 5);
        assertThat(plan.orders(), contains(new ModelOrder.LoadModel(id(0), LOG, QUOTE)));
        assertThat(plan.unmet(), is(Map.of(LOG, 1)));
    }

    /** Guards against loading an adapter on an engine that has not loaded its model. */
    @Test
    void loadsAdaptersNextToTheirModel() {
        List<EngineModels> engines =
                List.of(engine(0, "a", 1, LOG), engine(1, "b", 1, QUOTE), engine(2, "c", 1, QUOTE));
        ModelPlan plan = mPlanner.plan(List.of(demand(FABRIC, 0, 0)), engines, 5);
        assertThat(
                plan.orders(),
                contains(
                        new ModelOrder.LoadAdapter(id(1), FABRIC),
                        new ModelOrder.LoadAdapter(id(2), FABRIC)));
        ModelVariant newer = variant("log", "v2", null);
        ModelPlan version = mPlanner.plan(List.of(demand(newer, 0, 0)), engines.subList(0, 1), 5);
        assertThat(version.orders(), contains(new ModelOrder.LoadVersion(id(0), newer, LOG)));
    }

    /**
     * Guards against role changes that leave too few engines for decoding, or that alternate with
     * each plan.
     */
    @Test
    void separatesPrefillOnlyWithEnginesToSpare() {
        List<EngineModels> engines = new ArrayList<>();
        for (int number = 0; number < 8; number++) {
            engines.add(engine(number, "a", 1, QUOTE));
        }
        List<ModelDemand> longPrompts = List.of(demand(QUOTE, 20_000, 2_000));
        assertThat(
                mPlanner.plan(longPrompts, engines, 5).orders(),
                contains(new ModelOrder.SetRole(id(7), UpstreamRole.PREFILL)));
        assertThat(mPlanner.plan(longPrompts, engines.subList(0, 5), 5).orders(), empty());
        engines.set(
                7,
                engines.get(7)
                        .withOrderApplied(new ModelOrder.SetRole(id(7), UpstreamRole.PREFILL)));
        assertThat(mPlanner.plan(longPrompts, engines, 5).orders(), empty());
        assertThat(
                mPlanner.plan(List.of(demand(QUOTE, 0, 2_000)), engines, 5).orders(),
                contains(new ModelOrder.SetRole(id(7), UpstreamRole.MIXED)));
    }

    /**
     * Guards against plans that reduce needed capacity, exceed the load permits or never converge.
     */
    @Property(seed = "2610", tries = 200)
    void keepsNeededCapacityAndSettles(@ForAll long seed) {
        Random random = new Random(seed);
        List<ModelVariant> variants = List.of(QUOTE, LOG, FABRIC, variant("other", null, null));
        List<EngineModels> engines = new ArrayList<>();
        for (int number = 3 + random.nextInt(8); number > 0; number--) {
            ModelVariant loaded = variants.get(random.nextInt(2));
            engines.add(engine(number, "d" + random.nextInt(3), 1 + random.nextInt(2), loaded));
        }
        List<ModelDemand> demands = new ArrayList<>();
        for (ModelVariant variant : variants) {
            demands.add(demand(variant, random.nextInt(20_000), random.nextInt(2_000)));
        }
        Map<ModelVariant, Integer> needed = mPlanner.requiredEngines(demands);
        for (int round = 0; round < 40; round++) {
            int permits = random.nextInt(3);
            ModelPlan plan = mPlanner.plan(demands, engines, permits);
            Map<ModelVariant, Long> before = counts(variants, engines);
            assertThat(
                    plan.orders().stream()
                            .filter(order -> !(order instanceof ModelOrder.SetRole))
                            .count(),
                    lessThanOrEqualTo((long) permits));
            plan.orders().forEach(order -> engines.replaceAll(engine -> carryOut(engine, order)));
            Map<ModelVariant, Long> after = counts(variants, engines);
            for (ModelVariant variant : variants) {
                long bound =
                        Math.min(before.getOrDefault(variant, 0L), needed.getOrDefault(variant, 0));
                assertThat(after.getOrDefault(variant, 0L), greaterThanOrEqualTo(bound));
            }
        }
        assertThat(mPlanner.plan(demands, engines, 9).orders(), empty());
    }

    private static EngineModels carryOut(EngineModels engine, ModelOrder order) {
        return engine.upstream().equals(order.upstream()) ? engine.withOrderApplied(order) : engine;
    }

    private static Map<ModelVariant, Long> counts(
            List<ModelVariant> variants, List<EngineModels> engines) {
        Map<ModelVariant, Long> counts = new HashMap<>();
        for (ModelVariant variant : variants) {
            counts.put(
                    variant,
                    engines.stream().filter(engine -> engine.loaded().contains(variant)).count());
        }
        return counts;
    }

    private static EngineModels engine(
            int number, String domain, int slots, ModelVariant... loaded) {
        return new EngineModels(
                id(number),
                new FailureDomain(domain),
                Set.of(loaded),
                slots,
                UpstreamRole.MIXED,
                true,
                false);
    }

    private static UpstreamId id(int number) {
        return new UpstreamId("engine-" + number);
    }

    private static ModelDemand demand(ModelVariant variant, double prefill, double decode) {
        return new ModelDemand(new ProfileName("quick"), variant, prefill, decode);
    }

    private static ModelVariant variant(
            String model, @Nullable String version, @Nullable String adapter) {
        return new ModelVariant(new ModelName(model), version, adapter);
    }
}
