package dev.kumquatweir.core.configuration;

/** What happens to a prompt that does not fit one engine. */
public enum OversizePolicy {
    /** Refused with a typed failure. */
    REFUSE,
    /** Split over several engines that are reserved together. */
    SPLIT
}
