package dev.kumquatweir.gateway.caller;

/** A response stream whose connection is kept alive while it is idle. Thread-safe. */
interface KeepAliveStream {
    /**
     * Sends status and headers once the request has waited long enough, and writes a comment if the
     * stream is idle.
     *
     * @param openAfterNanos time after the start of the request at which the stream is opened
     * @param idleNanos time since the last write after which a comment is written
     * @return false if the response has ended
     */
    boolean keepAlive(long openAfterNanos, long idleNanos, long nowNanos);
}
