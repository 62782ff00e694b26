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
    private static final Comparator<EngineRoom> BY_NAME =
            Comparator.comparing(EngineRoom::upstream);

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
            Collection<EngineRoom> engines,
            AttemptIds ids) {
        long needed = promptTokens + outputTokens;
        long largest = engines.stream().mapToLong(this::usable).max().orElse(0);
        if (needed <= largest) {
            return new OversizeDecision.OneEngine();
        }
        if (policy == OversizePolicy.REFUSE) {
            return tooLong(promptTokens, largest - outputTokens);
        }
        Optional<List<EngineRoom>> now = select(engines, needed, outputTokens, this::usableNow);
        if (now.isPresent()) {
            return new OversizeDecision.Split(
                    split(now.get(), promptTokens, outputTokens, this::usableNow, ids), true);
        }
        return select(engines, needed, outputTokens, this::usable)
                .<OversizeDecision>map(
                        chosen ->
                                new OversizeDecision.Split(
                                        split(
                                                chosen,
                                                promptTokens,
                                                outputTokens,
                                                this::usable,
                                                ids),
                                        false))
                .orElseGet(() -> tooLong(promptTokens, capacity(engines) - outputTokens));
    }

    private Optional<List<EngineRoom>> select(
            Collection<EngineRoom> engines,
            long needed,
            long outputTokens,
            ToLongFunction<EngineRoom> room) {
        List<List<EngineRoom>> choices = new ArrayList<>();
        engines.stream()
                .collect(Collectors.groupingBy(EngineRoom::domain))
                .values()
                .forEach(domain -> fewest(domain, needed, outputTokens, room, choices));
        int withinDomain = choices.stream().mapToInt(List::size).min().orElse(Integer.MAX_VALUE);
        fewest(engines, needed, outputTokens, room, choices);
        int best = choices.stream().mapToInt(List::size).min().orElse(Integer.MAX_VALUE);
        // The choice across domains comes last, so it is taken only if it needs fewer engines.
        return choices.stream()
                .filter(choice -> choice.size() == Math.min(withinDomain, best))
                .findFirst();
    }

    private void fewest(
            Collection<EngineRoom> engines,
            long needed,
            long outputTokens,
            ToLongFunction<EngineRoom> room,
            List<List<EngineRoom>> choices) {
        List<EngineRoom> sorted =
                engines.stream()
                        .filter(engine -> room.applyAsLong(engine) > 0)
                        .sorted(Comparator.comparingLong(room).reversed().thenComparing(BY_NAME))
                        .toList();
        long sum = 0;
        for (int count = 1; count <= Math.min(sorted.size(), mMaximumEngines); count++) {
            sum += room.applyAsLong(sorted.get(count - 1));
            boolean answerFits = room.applyAsLong(sorted.getFirst()) > outputTokens;
            if (count > 1 && sum >= needed && answerFits) {
                choices.add(sorted.subList(0, count));
                return;
            }
        }
    }

    /** Splits a prompt. The engine with the most memory comes last as it also holds the answer. */
    private static OversizePlan split(
            List<EngineRoom> chosen,
            long promptTokens,
            long outputTokens,
            ToLongFunction<EngineRoom> room,
            AttemptIds ids) {
        List<EngineRoom> order = new ArrayList<>(chosen.subList(1, chosen.size()));
        order.add(chosen.getFirst());
        List<PromptPart> parts = new ArrayList<>();
        long from = 0;
        // At least one token of the prompt has to remain for the engine that generates the answer.
        for (EngineRoom engine : order) {
            boolean last = parts.size() == order.size() - 1;
            long left = promptTokens - from;
            long tokens = last ? left : Math.min(room.applyAsLong(engine), left - 1);
            if (tokens > 0) {
                parts.add(
                        new PromptPart(
                                parts.size(),
                                engine.upstream(),
                                engine.incarnation(),
                                ids.next(),
                                from,
                                from + tokens,
                                tokens + (last ? outputTokens : 0)));
                from += tokens;
            }
        }
        return new OversizePlan(parts);
    }

    private static OversizeDecision tooLong(long promptTokens, long limitTokens) {
        return new OversizeDecision.Refuse(
                new RequestFailure.PromptTooLong(promptTokens, Math.max(0, limitTokens)));
    }

    private long capacity(Collection<EngineRoom> engines) {
        return engines.stream()
                .map(this::usable)
                .sorted(Comparator.reverseOrder())
                .limit(mMaximumEngines)
                .mapToLong(Long::longValue)
                .sum();
    }

    private long usable(EngineRoom engine) {
        return (long) (engine.memoryTokens() * mUsableShare);
    }

    private long usableNow(EngineRoom engine) {
        return Math.min(usable(engine), engine.freeTokens());
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
