package dev.kumquatweir.core.configuration;

/** What happens to running work when its caller closes the connection. */
public enum CallerDisconnectPolicy {
    /** The work is cancelled and its memory released. */
    CANCEL,
    /** The work finishes and its answer can be fetched by the idempotency key. */
    FINISH
}
