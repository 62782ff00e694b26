package dev.kumquatweir.policy.oversize;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.InstanceId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.memory.AttemptIds;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class OversizePlannerTest {
    private final OversizePlanner mPlanner = OversizePlanner.builder().build();
    private final AttemptIds mIds = new AttemptIds(new InstanceId("a"), 1);

    /** Guards against refusing a prompt, or planning only two engines, when it needs three. */
    @Test
    void usesThreeEnginesWhenTwoAreTooSmall() {
        OversizeDecision.Split split =
                (OversizeDecision.Split)
                        plan(201_000, OversizePolicy.SPLIT, enginesWithUsedMemory(0, 3));
        assertThat(split.memoryAvailable(), is(true));
        assertThat(split.plan().parts(), hasSize(3));
        assertThat(split.plan().lastPart().toToken(), is(201_000L));
        assertThat(split.plan().steps(), hasSize(8));
        assertThat(split.plan().steps().getLast(), instanceOf(OversizeStep.Generate.class));
    }

    /** Guards against splitting a prompt that fits on one engine or that may not be split. */
    @Test
    void splitsOnlyIfNecessaryAndAllowed() {
        assertThat(
                plan(80_000, OversizePolicy.SPLIT, enginesWithUsedMemory(0, 3)),
                instanceOf(OversizeDecision.OneEngine.class));
        assertThat(
                plan(100_000, OversizePolicy.REFUSE, enginesWithUsedMemory(0, 3)),
                instanceOf(OversizeDecision.Refuse.class));
        OversizeDecision tooLong = plan(300_000, OversizePolicy.SPLIT, enginesWithUsedMemory(0, 3));
        assertThat(
                ((OversizeDecision.Refuse) tooLong).failure().message(),
                is("the prompt has about 300000 tokens, limit is 269000"));
    }

    /** Guards against splitting a prompt across failure domains when one domain is enough. */
    @Test
    void staysInOneDomainUnlessThatTakesMoreEngines() {
        List<EngineCapacity> engines = new ArrayList<>(enginesWithUsedMemory(50_000, 1));
        engines.addAll(enginesInDomain("klang-b", 100_000, 2));
        OversizeDecision.Split split =
                (OversizeDecision.Split) plan(150_000, OversizePolicy.SPLIT, engines);
        assertThat(split.plan().lastPart().upstream().value(), is("klang-b-0"));
        assertThat(split.plan().parts(), hasSize(2));
    }

    /** Guards against refusing a prompt because its engines are busy at the moment. */
    @Test
    void waitsForBusyEngines() {
        OversizeDecision decision =
                plan(150_000, OversizePolicy.SPLIT, enginesInDomain("klang-a", 10_000, 3));
        assertThat(((OversizeDecision.Split) decision).memoryAvailable(), is(false));
    }

    /** Guards against plans that omit tokens, exceed an engine's memory or use an engine twice. */
    @Property(seed = "2608", tries = 500)
    void coversThePromptWithinTheMemoryOfEachEngine(@ForAll long seed) {
        Random random = new Random(seed);
        List<EngineCapacity> engines = new ArrayList<>();
        for (int engine = 1 + random.nextInt(8); engine > 0; engine--) {
            long memory = 1_000L + random.nextInt(100_000);
            engines.add(
                    new EngineCapacity(
                            new UpstreamId("engine-" + engine),
                            1,
                            new FailureDomain("klang-" + random.nextInt(3)),
                            memory,
                            random.nextInt((int) memory)));
        }
        long prompt = 1L + random.nextInt(600_000);
        OversizeDecision decision = plan(prompt, OversizePolicy.SPLIT, engines);
        if (decision instanceof OversizeDecision.Split split) {
            long next = 0;
            for (PromptPart part : split.plan().parts()) {
                assertThat(part.fromToken(), is(next));
                assertThat(part.toToken(), greaterThan(next));
                next = part.toToken();
                EngineCapacity engine =
                        engines.stream()
                                .filter(candidate -> candidate.upstream().equals(part.upstream()))
                                .findFirst()
                                .orElseThrow();
                long bound = split.memoryAvailable() ? engine.freeTokens() : engine.memoryTokens();
                assertThat(part.reservedTokens(), lessThanOrEqualTo(bound));
            }
            assertThat(next, is(prompt));
            long largest = engines.stream().mapToLong(EngineCapacity::memoryTokens).max().orElse(0);
            int least = prompt > 2 * largest ? 3 : 2;
            assertThat(split.plan().parts().size(), greaterThanOrEqualTo(least));
            assertThat(
                    split.plan().permitParts().stream().map(part -> part.amount()).toList(),
                    everyItem(greaterThan(0L)));
        }
    }

    private OversizeDecision plan(
            long tokens, OversizePolicy policy, List<EngineCapacity> engines) {
        return mPlanner.plan(tokens, 1_000, policy, engines, mIds);
    }

    private static List<EngineCapacity> enginesWithUsedMemory(long used, int count) {
        return enginesInDomain("klang-a", 100_000 - used, count);
    }

    private static List<EngineCapacity> enginesInDomain(String name, long freeTokens, int count) {
        List<EngineCapacity> engines = new ArrayList<>();
        for (int engine = 0; engine < count; engine++) {
            engines.add(
                    new EngineCapacity(
                            new UpstreamId(name + "-" + engine),
                            1,
                            new FailureDomain(name),
                            100_000,
                            freeTokens));
        }
        return engines;
    }
}
