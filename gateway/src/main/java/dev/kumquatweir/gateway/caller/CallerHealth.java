package dev.kumquatweir.gateway.caller;

/** Readiness and metrics for load balancer and metrics collector. Must be thread-safe. */
public interface CallerHealth {
    /** Returns whether the load balancer should send new requests to this instance. */
    boolean ready(long nowNanos);

    /** Returns whether the instance is draining before a planned stop. */
    boolean draining();

    /** Returns all metrics in the Prometheus text format. */
    String metrics();
}
