package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.policy.memory.MemoryPart;
import dev.kumquatweir.policy.permit.PermitPart;
import dev.kumquatweir.policy.permit.PermitResource;
import dev.kumquatweir.policy.registry.Announcement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Assignment of the parts of a prompt to engines. Immutable.
 *
 * @param parts the parts in the order of the prompt, at least two, each on its own engine
 */
public record OversizePlan(List<PromptPart> parts) {
    private static final Comparator<PromptPart> ACQUISITION_ORDER =
            Comparator.comparing(PromptPart::upstream);

    /** Copies the list and checks that the parts use at least two engines. */
    public OversizePlan {
        parts = List.copyOf(parts);
        if (parts.stream().map(PromptPart::upstream).distinct().count() < 2) {
            throw new IllegalArgumentException("a split prompt needs at least two engines");
        }
    }

    /**
     * Splits a prompt into equal shares of memory. The last share includes the answer.
     *
     * @param promptTokens length of the prompt
     * @param outputTokens maximum length of the answer
     * @param engines the engines in the order of the prompt's parts, at least two
     * @param attemptIds generates the attempt ids of all parts except the last
     * @param lastAttempt attempt id of the last part
     */
    public static OversizePlan ofEqualShares(
            long promptTokens,
            long outputTokens,
            List<Announcement> engines,
            Supplier<AttemptId> attemptIds,
            AttemptId lastAttempt) {
        long share = EqualShares.shareTokens(promptTokens + outputTokens, engines.size());
        List<PromptPart> parts = new ArrayList<>();
        for (int index = 0; index < engines.size(); index++) {
            Announcement engine = engines.get(index);
            boolean isLast = index == engines.size() - 1;
            parts.add(
                    new PromptPart(
                            index,
                            engine.id(),
                            engine.incarnation(),
                            isLast ? lastAttempt : attemptIds.get(),
                            index * share,
                            isLast ? promptTokens : (index + 1) * share,
                            share));
        }
        return new OversizePlan(parts);
    }

    /** Returns the last part, whose engine generates the answer. */
    public PromptPart lastPart() {
        return parts.getLast();
    }

    /**
     * Returns the steps in order. Each part is processed after the KV caches of all earlier parts
     * have been imported on its engine.
     */
    public List<OversizeStep> steps() {
        List<OversizeStep> steps = new ArrayList<>();
        for (PromptPart part : parts) {
            for (PromptPart earlier : parts.subList(0, part.index())) {
                steps.add(new OversizeStep.ImportKv(earlier, part));
            }
            if (part.equals(lastPart())) {
                steps.add(new OversizeStep.Generate(part));
            } else {
                steps.add(new OversizeStep.Prefill(part));
                steps.add(new OversizeStep.ExportKv(part));
            }
        }
        return steps;
    }

    /** Returns the required permits, in the order in which all plans acquire engines. */
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

    /** Returns the required memory, in the same order as {@link #permitParts}. */
    public List<MemoryPart> memoryParts() {
        return parts.stream()
                .sorted(ACQUISITION_ORDER)
                .map(part -> new MemoryPart(part.upstream(), part.attempt(), part.reservedTokens()))
                .toList();
    }
}
