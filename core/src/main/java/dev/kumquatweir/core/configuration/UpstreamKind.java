package dev.kumquatweir.core.configuration;

/** Kind of the upstreams of a service. */
public enum UpstreamKind {
    /** An inference engine that implements the engine protocol. */
    ENGINE,
    /** A plain HTTP service. */
    SERVICE
}
