package dev.kumquatweir.core.configuration;

/** What an upstream is. */
public enum UpstreamKind {
    /** A model engine that speaks the engine protocol. */
    ENGINE,
    /** A plain HTTP service. */
    SERVICE
}
