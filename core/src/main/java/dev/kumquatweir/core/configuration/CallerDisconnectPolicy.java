package dev.kumquatweir.core.configuration;

/** What happens to a running request when its caller closes the connection. */
public enum CallerDisconnectPolicy {
    /** The request is cancelled and its KV cache memory released. */
    CANCEL,
    /** The request is completed and its response can be fetched by the idempotency key. */
    FINISH
}
