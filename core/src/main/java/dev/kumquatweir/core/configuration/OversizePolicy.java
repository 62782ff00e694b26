package dev.kumquatweir.core.configuration;

/** What happens to a prompt that does not fit the KV cache of one engine. */
public enum OversizePolicy {
    /** The request is refused with a typed failure. */
    REFUSE,
    /** The prompt is split over several engines that are reserved together. */
    SPLIT
}
