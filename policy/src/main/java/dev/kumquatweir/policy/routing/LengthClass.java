package dev.kumquatweir.policy.routing;

/** Length of a prompt as far as routing distinguishes it. */
public enum LengthClass {
    /** The prefill takes a fraction of the usual bound on the time to first token. */
    SHORT,
    /** The prefill occupies an engine for longer than that. */
    LONG;

    /**
     * Longest prompt of class {@link #SHORT}, in tokens. An engine that prefills 19,000 tokens per
     * second processes it in half of 0.86 s, the bound on the time to first token, which leaves as
     * much for those before it.
     */
    public static final long SHORT_PROMPT_TOKENS = 8_192;

    /** Returns the class of a prompt. */
    public static LengthClass of(long promptTokens) {
        return promptTokens <= SHORT_PROMPT_TOKENS ? SHORT : LONG;
    }
}
