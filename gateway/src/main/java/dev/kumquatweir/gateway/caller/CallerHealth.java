package dev.kumquatweir.gateway.caller;

/** What the platform's balancer and metrics collector may ask. Implementations are thread-safe. */
public interface CallerHealth {
    /** Returns whether the balancer should send new requests here. */
    boolean ready(long nowNanos);

    /** Returns whether a planned stop has begun. */
    boolean draining();

    /** Returns all metrics in the text format of Prometheus. */
    String metrics();
}
