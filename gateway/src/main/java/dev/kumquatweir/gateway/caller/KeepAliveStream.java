package dev.kumquatweir.gateway.caller;

/** An answer that has to be kept alive while it is quiet. */
interface KeepAliveStream {
    /**
     * Opens the answer if it has waited long enough, and writes a comment if it has been quiet.
     *
     * @return false if the answer has ended
     */
    boolean keepAlive(long openAfterNanos, long idleNanos, long nowNanos);
}
