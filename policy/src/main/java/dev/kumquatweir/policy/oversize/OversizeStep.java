package dev.kumquatweir.policy.oversize;

/** One step of running a prompt on several engines. Implementations are immutable. */
public sealed interface OversizeStep {
    /**
     * Prefill a part of the prompt, using the KV caches of the earlier parts, and keep its KV
     * cache.
     *
     * @param part the part
     */
    record Prefill(PromptPart part) implements OversizeStep {}

    /**
     * Export the KV cache of a prefilled part, so that other engines can read it.
     *
     * @param part the part
     */
    record ExportKv(PromptPart part) implements OversizeStep {}

    /**
     * Import the KV cache of an earlier part on another engine.
     *
     * @param source the earlier part
     * @param target the part whose engine imports the cache
     */
    record ImportKv(PromptPart source, PromptPart target) implements OversizeStep {}

    /**
     * Prefill the last part and generate the answer, which is streamed to the caller.
     *
     * @param part the last part
     */
    record Generate(PromptPart part) implements OversizeStep {}
}
