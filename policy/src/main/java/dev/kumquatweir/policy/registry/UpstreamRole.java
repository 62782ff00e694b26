package dev.kumquatweir.policy.registry;

/** Generation phases that an engine executes. Plain services are {@link #MIXED}. */
public enum UpstreamRole {
    /** Prefill and decode. */
    MIXED,
    /** Prefill only. */
    PREFILL,
    /** Decode only. */
    DECODE
}
