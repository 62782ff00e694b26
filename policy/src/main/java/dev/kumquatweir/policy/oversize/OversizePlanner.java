package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.configuration.OversizePolicy;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.policy.memory.AttemptIds;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Plans how prompts that do not fit on one engine are split. Uses as few engines as possible, and
 * engines of a single failure domain unless that requires more of them. Immutable and thread-safe.
 */
public final class OversizePlanner {
    private static final Comparator<EngineCapacity> BY_NAME =
            Comparator.comparing(EngineCapacity::upstream);

    private final double mUsableShare;
    private final int mMaximumEngines;

    private OversizePlanner(Builder builder) {
        mUsableShare = builder.mUsableShare;
        mMaximumEngines = builder.mMaximumEngines;
    }

    /** Returns a builder whose defaults use up to 0.9 of an engine's memory and up to 8 engines. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Plans a prompt.
     *
     * @param promptTokens length of the prompt
     * @param outputTokens maximum length of the answer, which is held by the last engine
     * @param policy the profile's policy for prompts that do not fit on one engine
     * @param engines candidate engines, each once
     * @param ids generates the attempt id of each part
     */
    public OversizeDecision plan(
            long promptTokens,
            long outputTokens,
            OversizePolicy policy,
            Collection<EngineCapacity> engines,
            AttemptIds ids) {
        long neededTokens = promptTokens + outputTokens;
        long largestTokens = engines.stream().mapToLong(this::usableTokens).max().orElse(0);
        if (neededTokens <= largestTokens) {
            return new OversizeDecision.OneEngine();
        }
        if (policy == OversizePolicy.REFUSE) {
            return tooLong(promptTokens, largestTokens - outputTokens);
        }
        Optional<List<EngineCapacity>> available =
                select(engines, neededTokens, outputTokens, this::currentlyUsableTokens);
        if (available.isPresent()) {
            return new OversizeDecision.Split(
                    split(
                            available.get(),
                            promptTokens,
                            outputTokens,
                            this::currentlyUsableTokens,
                            ids),
                    true);
        }
        return select(engines, neededTokens, outputTokens, this::usableTokens)
                .<OversizeDecision>map(
                        chosen ->
                                new OversizeDecision.Split(
                                        split(
                                                chosen,
                                                promptTokens,
                                                outputTokens,
                                                this::usableTokens,
                                                ids),
                                        false))
                .orElseGet(() -> tooLong(promptTokens, capacityTokens(engines) - outputTokens));
    }

    private Optional<List<EngineCapacity>> select(
            Collection<EngineCapacity> engines,
            long neededTokens,
            long outputTokens,
            ToLongFunction<EngineCapacity> tokensOf) {
        List<List<EngineCapacity>> choices = new ArrayList<>();
        engines.stream()
                .collect(Collectors.groupingBy(EngineCapacity::domain))
                .values()
                .forEach(
                        domain ->
                                addSmallestChoice(
                                        domain, neededTokens, outputTokens, tokensOf, choices));
        int fewestInOneDomain =
                choices.stream().mapToInt(List::size).min().orElse(Integer.MAX_VALUE);
        addSmallestChoice(engines, neededTokens, outputTokens, tokensOf, choices);
        int fewestEngines = choices.stream().mapToInt(List::size).min().orElse(Integer.MAX_VALUE);
        // The choice across domains comes last, so it is taken only if it needs fewer engines.
        return choices.stream()
                .filter(choice -> choice.size() == Math.min(fewestInOneDomain, fewestEngines))
                .findFirst();
    }

    private void addSmallestChoice(
            Collection<EngineCapacity> engines,
            long neededTokens,
            long outputTokens,
            ToLongFunction<EngineCapacity> tokensOf,
            List<List<EngineCapacity>> choices) {
        List<EngineCapacity> sorted =
                engines.stream()
                        .filter(engine -> tokensOf.applyAsLong(engine) > 0)
                        .sorted(
                                Comparator.comparingLong(tokensOf)
                                        .reversed()
                                        .thenComparing(BY_NAME))
                        .toList();
        long sum = 0;
        for (int count = 1; count <= Math.min(sorted.size(), mMaximumEngines); count++) {
            sum += tokensOf.applyAsLong(sorted.get(count - 1));
            boolean answerFits = tokensOf.applyAsLong(sorted.getFirst()) > outputTokens;
            if (count > 1 && sum >= neededTokens && answerFits) {
                choices.add(sorted.subList(0, count));
                return;
            }
        }
    }

    /** Splits a prompt. The engine with the most memory comes last as it also holds the answer. */
    private static OversizePlan split(
            List<EngineCapacity> chosen,
            long promptTokens,
            long outputTokens,
            ToLongFunction<EngineCapacity> tokensOf,
            AttemptIds ids) {
        List<EngineCapacity> order = new ArrayList<>(chosen.subList(1, chosen.size()));
        order.add(chosen.getFirst());
        List<PromptPart> parts = new ArrayList<>();
        long from = 0;
        // At least one token of the prompt has to remain for the engine that generates the answer.
        for (EngineCapacity engine : order) {
            boolean isLast = parts.size() == order.size() - 1;
            long remaining = promptTokens - from;
            long tokens =
                    isLast ? remaining : Math.min(tokensOf.applyAsLong(engine), remaining - 1);
            if (tokens > 0) {
                parts.add(
                        new PromptPart(
                                parts.size(),
                                engine.upstream(),
                                engine.incarnation(),
                                ids.next(),
                                from,
                                from + tokens,
                                tokens + (isLast ? outputTokens : 0)));
                from += tokens;
            }
        }
        return new OversizePlan(parts);
    }

    private static OversizeDecision tooLong(long promptTokens, long limitTokens) {
        return new OversizeDecision.Refuse(
                new RequestFailure.PromptTooLong(promptTokens, Math.max(0, limitTokens)));
    }

    private long capacityTokens(Collection<EngineCapacity> engines) {
        return engines.stream()
                .map(this::usableTokens)
                .sorted(Comparator.reverseOrder())
                .limit(mMaximumEngines)
                .mapToLong(Long::longValue)
                .sum();
    }

    private long usableTokens(EngineCapacity engine) {
        return (long) (engine.memoryTokens() * mUsableShare);
    }

    private long currentlyUsableTokens(EngineCapacity engine) {
        return Math.min(usableTokens(engine), engine.freeTokens());
    }

    /** Builds an {@link OversizePlanner}. Not thread-safe. */
    public static final class Builder {
        private double mUsableShare = 0.9;
        private int mMaximumEngines = 8;

        private Builder() {}

        /** Sets the share of an engine's memory that one prompt may use, above 0 and up to 1. */
        public Builder usableShare(double value) {
            mUsableShare = value;
            return this;
        }

        /** Sets the maximum number of engines for one prompt. */
        public Builder maximumEngines(int value) {
            mMaximumEngines = value;
            return this;
        }

        /** Returns the planner. */
        public OversizePlanner build() {
            return new OversizePlanner(this);
        }
    }
}
