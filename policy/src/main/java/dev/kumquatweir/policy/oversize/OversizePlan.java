package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.policy.memory.MemoryPart;
import dev.kumquatweir.policy.permit.PermitPart;
import dev.kumquatweir.policy.permit.PermitResource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * How a prompt runs on several engines. Immutable.
 *
 * @param parts the parts in the order of the prompt, at least two, each on its own engine
 */
public record OversizePlan(List<PromptPart> parts) {
    private static final Comparator<PromptPart> ACQUISITION_ORDER =
            Comparator.comparing(PromptPart::upstream);

    /** Copies the list, so that the record is immutable. */
    public OversizePlan {
        parts = List.copyOf(parts);
        if (parts.stream().map(PromptPart::upstream).distinct().count() < 2) {
            throw new IllegalArgumentException("a split prompt needs two engines or more");
        }
    }

    /** Returns the last part, whose engine generates the answer. */
    public PromptPart last() {
        return parts.getLast();
    }

    /** Returns the steps in order: each part after the caches of all earlier ones. */
    public List<OversizeStep> steps() {
        List<OversizeStep> steps = new ArrayList<>();
        for (PromptPart part : parts) {
            for (PromptPart earlier : parts.subList(0, part.number())) {
                steps.add(new OversizeStep.ImportKv(earlier, part));
            }
            if (part.equals(last())) {
                steps.add(new OversizeStep.Generate(part));
            } else {
                steps.add(new OversizeStep.Prefill(part));
                steps.add(new OversizeStep.ExportKv(part));
            }
        }
        return steps;
    }

    /** Returns the permits needed, in the one order in which all plans acquire engines. */
    public List<PermitPart> permitParts() {
        return parts.stream()
                .sorted(ACQUISITION_ORDER)
                .map(
                        part ->
                                new PermitPart(
                                        new PermitResource.EngineMemory(part.upstream()),
                                        part.incarnation(),
                                        part.reservedTokens()))
                .toList();
    }

    /** Returns the memory needed, in the same order. */
    public List<MemoryPart> memoryParts() {
        return parts.stream()
                .sorted(ACQUISITION_ORDER)
                .map(part -> new MemoryPart(part.upstream(), part.attempt(), part.reservedTokens()))
                .toList();
    }
}
