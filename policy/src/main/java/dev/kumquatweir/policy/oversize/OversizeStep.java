package dev.kumquatweir.policy.oversize;

/** One step of a prompt over several engines. Implementations are immutable. */
public sealed interface OversizeStep {
    /**
     * Process a part of the prompt, with the caches of the earlier parts, and keep its cache.
     *
     * @param part the part
     */
    record Prefill(PromptPart part) implements OversizeStep {}

    /**
     * Export the cache of a processed part, so that other engines can read it.
     *
     * @param part the part
     */
    record ExportKv(PromptPart part) implements OversizeStep {}

    /**
     * Make the cache of an earlier part readable on another engine.
     *
     * @param source the earlier part
     * @param target the part whose engine will read it
     */
    record ImportKv(PromptPart source, PromptPart target) implements OversizeStep {}

    /**
     * Process the last part and generate the answer; its stream goes to the caller.
     *
     * @param part the last part
     */
    record Generate(PromptPart part) implements OversizeStep {}
}
