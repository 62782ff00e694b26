package dev.kumquatweir.policy.routing;

/** Classes of prompt length that routing distinguishes. */
public enum LengthClass {
    /** The prefill takes at most a fraction of the usual target for the time to first token. */
    SHORT,
    /** The prefill takes longer than that. */
    LONG;

    /**
     * Longest prompt of class {@link #SHORT}, in tokens. An engine that prefills 19,000 tokens per
     * second processes it in half of 0.86 s, the target for the time to first token, which leaves
     * the other half for queueing.
     */
    public static final long SHORT_PROMPT_TOKENS = 8_192;

    /** Returns the class of a prompt. */
    public static LengthClass of(long promptTokens) {
        return promptTokens <= SHORT_PROMPT_TOKENS ? SHORT : LONG;
    }
}
