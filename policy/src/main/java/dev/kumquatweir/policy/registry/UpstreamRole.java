package dev.kumquatweir.policy.registry;

/** Which phases of generation an engine takes. Plain services are {@link #MIXED}. */
public enum UpstreamRole {
    /** Prefill and decode. */
    MIXED,
    /** Prefill only. */
    PREFILL,
    /** Decode only. */
    DECODE
}
